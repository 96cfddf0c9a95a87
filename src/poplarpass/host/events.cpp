#include <poplarpass/host/events.h>

#include <array>

namespace poplarpass::host
{
namespace
{
/// Fields of a decision about a job, a task or a run; those about the worker only if one is involved.
constexpr std::string_view decisionFields = "id, worker, run, reason, born, heard_ms, epoch, config";
constexpr std::string_view lostRunFields =
    "id, worker, run, reason, born, heard_ms, ran_ms, open_start, ordered_ms, epoch, config";
constexpr std::string_view endedJobFields =
    "id, worker, run, reason, born, heard_ms, when failed also task, failed_runs, max_failed_runs, epoch, config";
constexpr std::string_view givenUpJobFields =
    "id, reason, task, failed_runs, max_failed_runs, crashes_at_start, crashes_alone, crashes_certain, crashes_later, "
    "epoch, config";
constexpr std::string_view crashFields = "id, worker, run, reason, born, heard_ms, placed, suspects, epoch, config";

constexpr std::array events{
    event_description{"account_at_cap", "starts of a client account are held back by its cap",
                      "account, resource, used, cap, config"},
    event_description{"account_below_cap", "starts of a client account are no longer held back by its cap",
                      "account, resource, used, cap, config"},
    event_description{"advice", "the placement advice service responded about a step, or did not respond",
                      decisionFields},
    event_description{"announcement_unreadable", "an announcement of an owner by another host could not be decoded",
                      "bytes"},
    event_description{"append_repeated", "the answer to an append was overdue: a further copy of it was sent",
                      "topic, copy"},
    event_description{"call_refused",
                      "a caller's call was rejected at once; `bytes` is `above_limit` for a body that was not read",
                      "host, path, method, bytes, status, config"},
    event_description{"capacity_record_unreadable", "a stored record about hosts could not be decoded and was skipped",
                      "key"},
    event_description{"clock_regular", "the time of day agrees with the steady clock again, or its step was accepted",
                      "ms, effect"},
    event_description{"clock_stepped", "the time of day was stepped; the process goes on by the steady clock",
                      "ms, effect"},
    event_description{"config_in_force", "a newer configuration became active at this host", "version, offset, routes"},
    event_description{"config_unreadable", "a configuration could not be decoded; the previous one stays active",
                      "offset, detail, kept"},
    event_description{"end_held",
                      "the end of a run is not acknowledged yet: a start of it without an answer may be carried out",
                      decisionFields},
    event_description{"fillers_paced", "the pace of best-effort tasks on a worker was lowered or raised",
                      decisionFields},
    event_description{"former_owners_stopped", "all former owners have acknowledged that they send no more orders",
                      "epoch, last"},
    event_description{"gang_hold", "workers are held for a gang that other tasks of its pool would keep waiting",
                      decisionFields},
    event_description{"host_maintenance", "a host was ordered into maintenance",
                      "host, worker, pool, wave, token, outcome"},
    event_description{"host_move", "a host was ordered to another pool", "host, worker, pool, wave, token, outcome"},
    event_description{"host_service_lost", "the host service does not respond: no moves, no maintenance", "effect"},
    event_description{"host_service_regained", "the host service responds again", "effect"},
    event_description{"job_accepted", "a job was accepted; it is acknowledged once it is stored", decisionFields},
    event_description{"job_cancelled_early",
                      "a job was cancelled before its submission arrived, or that submission arrived; it does not run",
                      decisionFields},
    event_description{"job_ended", "a job is completed, failed or cancelled", endedJobFields},
    event_description{"job_given_up", "a job fails because one of its tasks crashes the workers that start it",
                      givenUpJobFields},
    event_description{"job_record_unreadable", "the stored specification of a job could not be decoded and was skipped",
                      "job, detail"},
    event_description{"job_refused", "a job was refused and never runs",
                      "id, reason, then stalled_ms, retry_after_s or steps, bytes"},
    event_description{"job_started", "a worker began the first run of a job", decisionFields},
    event_description{"jobs_restored", "a new owner has restored the stored jobs",
                      "epoch, jobs, offset, placed, leases_ms"},
    event_description{"jobs_unread", "a new owner could not read the stored jobs; it retries", "epoch"},
    event_description{"journal_fenced", "the store rejects this owner's appends because a later owner has written",
                      "epoch, sequence"},
    event_description{"journal_rejected",
                      "the store rejects an append of this owner for its size or form; the owner steps down",
                      "epoch, sequence, records, bytes"},
    event_description{"journal_resumed", "the store accepts the owner's appends again", "epoch, sequence"},
    event_description{"journal_slow", "an append was slow: jobs and starts were delayed by it",
                      "epoch, sequence, records, ms"},
    event_description{"journal_stalled",
                      "the store does not accept the owner's appends: no run starts, no job is accepted",
                      "epoch, sequence, batches"},
    event_description{"owner_announced", "a host has acknowledged this owner", "host"},
    event_description{"owner_changed", "the owner known to this host changed", "owner, epoch, offset or learnt_from"},
    event_description{"owner_claim", "this host claims the pools", "epoch, rank"},
    event_description{"owner_claim_failed", "another host claimed first, or the store did not respond",
                      "epoch, outcome"},
    event_description{"owner_deposed", "this owner detected a later owner and steps down", "epoch, noticed_by"},
    event_description{"owner_elected", "this host became owner of the pools", "epoch"},
    event_description{"owner_ends", "this host's term as owner ended", "epoch"},
    event_description{"owner_lost",
                      "the owner does not respond to this host: callers' requests are queued and forwarded again",
                      "owner, effect"},
    event_description{"owner_record_unreadable", "an ownership record could not be decoded and was skipped", "offset"},
    event_description{"owner_regained", "the owner responds to this host again", "owner, effect"},
    event_description{"owner_resigns", "this owner has stored all changes and resigns", "epoch"},
    event_description{"owner_serving", "a new owner serves requests and sends orders", "epoch, workers, ms"},
    event_description{"owner_yields", "this owner resigns in favour of another host", "epoch, reason"},
    event_description{"pace_refused", "a worker did not accept a change of a run's pace", "task, worker"},
    event_description{
        "pool_load", "capacity and demand of a pool, twice a second",
        "pool, hosts, hosts_wanted, hosts_spread, draining, arriving, maintenance, idle, standby, host_cpu, "
        "cpu, cpu_placed, cpu_waiting, cpu_offered"},
    event_description{"progress_layout_changed",
                      "the progress of a job is stored in parts from now on, or in one record again",
                      "job, tasks, layout"},
    event_description{"progress_record_unreadable", "the stored progress of a job could not be decoded and was skipped",
                      "job"},
    event_description{"reload", "the settings were reloaded", "log_level, effect"},
    event_description{"request_given_up", "a caller's request got no conclusive response from an owner in time",
                      "id, verb, attempts, maybe_stored, owner, config, ms"},
    event_description{"request_refused", "a request was refused at once and had no effect",
                      "id, verb, reason, then epoch or open, retry_after_s, or config, config_age_ms, account"},
    event_description{"request_unsettled",
                      "a request was answered as unknown: an earlier copy of what would be refused now may have been "
                      "carried out",
                      "id, verb, status, epoch, config"},
    event_description{"resigned", "the resignation is complete: another host may claim the pools", ""},
    event_description{"room_reserved", "room is kept free on a worker for a long-running task that found none",
                      decisionFields},
    event_description{"run_ended", "a run ended without completing its task", decisionFields},
    event_description{"run_given_up", "a run is stopped so that its task can be restarted", decisionFields},
    event_description{"run_lost", "a run is certainly over, but the worker reported no end for it", lostRunFields},
    event_description{"run_times_learnt",
                      "how far declared run times are trusted in the order of jobs, and actual over declared ones",
                      "queue, runs, trust_percent, ratio_percent, spread_percent"},
    event_description{"settings_unreadable", "the settings could not be reloaded; the previous ones stay active",
                      "key, expected"},
    event_description{"silence_record_unreadable",
                      "the stored unrenewed lease of a worker could not be decoded and was skipped", "worker"},
    event_description{"start", "the process started", "zone, peers"},
    event_description{"start_rejected", "a worker rejected a start; the run did not begin", decisionFields},
    event_description{"start_unanswered", "a start got no response: the run may have begun", decisionFields},
    event_description{"stop", "the process ended", ""},
    event_description{"stop_repeated", "the stop of a run is repeated because the worker still lists the run",
                      decisionFields},
    event_description{"stopping",
                      "the process received a signal to stop; it serves until the load balancer stops sending requests",
                      "owner"},
    event_description{"store_lost", "the store does not respond to this host", "topic, effect, version"},
    event_description{"store_regained", "the store responds again", "topic, offset"},
    event_description{"stored_record_unreadable", "a newest record of the store could not be decoded and was skipped",
                      "topic, key"},
    event_description{"stray_run", "a worker lists a run that is not current; the run is stopped", decisionFields},
    event_description{"superseded_run_done",
                      "a run that was lost and replaced had completed its task; the newer run is stopped",
                      decisionFields},
    event_description{
        "suspicion_cleared",
        "a task is no longer suspected of crashing workers: the silent worker answers again, or a run goes on",
        decisionFields},
    event_description{"task_evacuated", "a long-running task is moved off a host that is being drained",
                      decisionFields},
    event_description{"task_placed", "a run was assigned to a worker; it is started once that is stored",
                      decisionFields},
    event_description{"task_suspended",
                      "a task that saves its progress is stopped on a drained host, to resume on another",
                      decisionFields},
    event_description{"task_without_run", "a long-running task that may start has had no run for long",
                      "id, worker, run, reason, born, heard_ms, waited_ms, ended, lease_ms, epoch, config"},
    event_description{"tasks_waiting",
                      "tasks of a pool that end by themselves have waited for long; id is of the first",
                      "id, reason, waited_ms, pool, tasks, epoch, config"},
    event_description{"wave_known", "a maintenance wave was read", "wave, hosts, cap, rest_ms"},
    event_description{"wave_status", "the state of a wave was reported to the operator",
                      "wave, completed, maintained, hosts"},
    event_description{"wave_status_rejected", "the store rejects the state of a wave, which is not reported", "key"},
    event_description{"wave_unreadable", "a maintenance wave could not be decoded and was skipped", "key, detail"},
    event_description{"worker_clock_reset",
                      "the answer to a start shows that the worker restarted: its runs may have its longest lease",
                      decisionFields},
    event_description{"worker_crashed",
                      "a worker ended without a drain, or stayed silent until its lease expired, with runs on it",
                      crashFields},
    event_description{"worker_entry_unreadable",
                      "a worker's record could not be decoded and was skipped: the worker gets no work",
                      "worker, offset, detail"},
    event_description{"worker_lost",
                      "a worker does not respond: it gets no starts, and its runs continue until their lease expires",
                      "worker, address, placed"},
    event_description{"worker_paused", "a worker with repeated run failures gets no starts for a while",
                      decisionFields},
    event_description{"worker_regained", "a worker responds for the first time or again",
                      "worker, address, born, running"},
    event_description{"worker_replaced", "another worker responds at a worker's address: the listed worker is gone",
                      "worker"},
    event_description{"worker_reserved",
                      "a worker takes no other starts until a task that may crash it has started there",
                      decisionFields},
};
} // namespace

auto allEvents() -> std::span<const event_description>
{
    return events;
}

auto describeEvents() -> std::string
{
    std::string table = "| event | meaning | fields |\n|---|---|---|\n";
    for (const auto &event : events) {
        table += "| `" + std::string{event.name} + "` | " + std::string{event.meaning} + " | "
            + std::string{event.fields} + " |\n";
    }
    return table;
}
} // namespace poplarpass::host
