#pragma once

/// \file
/// \brief The request path at an entry: the right to run a key, attempts, placement and limits.

#include <poplarpass/request/authority.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/job.h>
#include <poplarpass/request/job_table.h>
#include <poplarpass/request/key_action.h>
#include <poplarpass/request/key_authority.h>
#include <poplarpass/request/membership.h>
#include <poplarpass/request/packed_key.h>
#include <poplarpass/request/peer_message.h>
#include <poplarpass/request/uuid7.h>
