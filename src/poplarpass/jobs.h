#pragma once

/// \file
/// \brief Jobs made of steps of tasks, and the scheduling of their tasks on workers.

#include <poplarpass/jobs/account_limits.h>
#include <poplarpass/jobs/account_usage.h>
#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/job_order.h>
#include <poplarpass/jobs/job_spec.h>
#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/progress_text.h>
#include <poplarpass/jobs/run_time_model.h>
#include <poplarpass/jobs/wait_reasons.h>
#include <poplarpass/jobs/worker_report.h>
#include <poplarpass/jobs/worker_table.h>
