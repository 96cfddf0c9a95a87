#pragma once

/// \file
/// \brief Request handling in an entry process: at-most-once dispatch of keys, attempts, placement and limits.

#include <poplarpass/request/admission_queue.h>
#include <poplarpass/request/answer_matcher.h>
#include <poplarpass/request/attempt_policy.h>
#include <poplarpass/request/authority.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/fair_queue.h>
#include <poplarpass/request/job.h>
#include <poplarpass/request/job_table.h>
#include <poplarpass/request/key_action.h>
#include <poplarpass/request/key_authority.h>
#include <poplarpass/request/lease_table.h>
#include <poplarpass/request/leaving_tracker.h>
#include <poplarpass/request/membership.h>
#include <poplarpass/request/packed_key.h>
#include <poplarpass/request/peer_message.h>
#include <poplarpass/request/placement.h>
#include <poplarpass/request/retry_budget.h>
#include <poplarpass/request/uuid7.h>
#include <poplarpass/request/work_estimator.h>
#include <poplarpass/request/worker_health.h>
#include <poplarpass/request/worker_pool.h>
#include <poplarpass/request/worker_view.h>
