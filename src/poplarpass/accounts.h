#pragma once

/// \file
/// \brief Client accounts and the authentication of their requests.

#include <poplarpass/accounts/account.h>
#include <poplarpass/accounts/account_table.h>
#include <poplarpass/accounts/credential.h>
#include <poplarpass/accounts/key_digest.h>
