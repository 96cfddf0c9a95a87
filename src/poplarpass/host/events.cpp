#include <poplarpass/host/events.h>

#include <array>

namespace poplarpass::host
{
namespace
{
/// Fields of a decision about a job, a task or a run; those about the worker only if one is involved.
constexpr std::string_view decisionFields = "id, worker, run, reason, born, heard_ms, epoch, config";

constexpr std::array events{
    event_description{"advice", "the service for advice was asked about a step", decisionFields},
    event_description{"announcement_unreadable", "another host announced an owner in a form that is not known",
                      "bytes"},
    event_description{"call_refused", "a caller's call that no queue takes, answered at once",
                      "host, path, method, bytes, status, config"},
    event_description{"capacity_record_unreadable", "a record about hosts was left out", "key"},
    event_description{"config_in_force", "a newer configuration holds at this host", "version, offset, routes"},
    event_description{"config_unreadable", "a configuration was left out; the one before stays",
                      "offset, detail, kept"},
    event_description{"fillers_paced", "tasks that fill were slowed down or sped up on a worker", decisionFields},
    event_description{"former_owners_stopped", "all former owners have confirmed that they give no orders",
                      "epoch, last"},
    event_description{"host_maintenance", "a host was ordered into maintenance",
                      "host, worker, pool, wave, token, outcome"},
    event_description{"host_move", "a host was ordered to another pool", "host, worker, pool, wave, token, outcome"},
    event_description{"host_service_lost", "the service for hosts does not answer: no moves, no maintenance", "effect"},
    event_description{"host_service_regained", "it answers again", "effect"},
    event_description{"job_accepted", "a job was taken in; acknowledged once it is stored", decisionFields},
    event_description{"job_ended", "a job is completed, failed or cancelled", decisionFields},
    event_description{"job_record_unreadable", "a job's record was left out", "job, detail"},
    event_description{"job_refused", "a job was not taken in and never runs", "id, reason, stalled_ms, retry_after_s"},
    event_description{"job_started", "a worker began the first run of a job", decisionFields},
    event_description{"jobs_restored", "a new owner has read what is stored", "epoch, jobs, offset"},
    event_description{"jobs_unread", "a new owner could not read what is stored, and tries again", "epoch"},
    event_description{"journal_fenced", "the store refuses this owner's appends: a later one has written",
                      "epoch, sequence"},
    event_description{"journal_resumed", "the store takes the owner's appends again", "epoch, sequence"},
    event_description{"journal_slow", "the store took long for an append: jobs and starts waited for it",
                      "epoch, sequence, records, ms"},
    event_description{"journal_stalled",
                      "the store does not take the owner's appends: nothing starts, no job is taken in",
                      "epoch, sequence, batches"},
    event_description{"owner_announced", "a host has taken note of this owner", "host"},
    event_description{"owner_changed", "this host learnt of another owner", "owner, epoch, offset or learnt_from"},
    event_description{"owner_claim", "this host claims the pools", "epoch, rank"},
    event_description{"owner_claim_failed", "another host was first, or the store did not answer", "epoch, outcome"},
    event_description{"owner_deposed", "this owner learnt that a later one is there", "epoch, noticed_by"},
    event_description{"owner_elected", "this host owns the pools", "epoch"},
    event_description{"owner_ends", "this host's term as owner is over", "epoch"},
    event_description{"owner_lost",
                      "the owner does not answer this host: callers' requests wait and are handed on again",
                      "owner, effect"},
    event_description{"owner_record_unreadable", "a record about the owner was left out", "offset"},
    event_description{"owner_regained", "the owner answers this host again", "owner, effect"},
    event_description{"owner_resigns", "this owner has stored everything and hands over", "epoch"},
    event_description{"owner_serving", "a new owner answers requests and gives orders", "epoch, workers, ms"},
    event_description{"pace_refused", "a worker did not take an order about a run's pace", "task, worker"},
    event_description{"pool_load", "what a pool has and is asked for, twice a second",
                      "pool, hosts, hosts_wanted, cpu, cpu_placed, cpu_waiting, cpu_offered"},
    event_description{"progress_record_unreadable", "a job's progress was left out", "job"},
    event_description{"reload", "the settings were read again", "log_level, effect"},
    event_description{"request_given_up", "a caller's request got no answer of an owner in time",
                      "id, verb, attempts, maybe_stored, owner, config, ms"},
    event_description{"request_refused", "a request was refused at once, and nothing was done with it",
                      "id, verb, reason, epoch or open, retry_after_s"},
    event_description{"resigned", "another host may claim the pools", ""},
    event_description{"run_ended", "a run ended without having done its task", decisionFields},
    event_description{"run_given_up", "a run is stopped so that its task can start anew", decisionFields},
    event_description{"run_lost", "a run is over for sure, without an end that the worker listed", decisionFields},
    event_description{"settings_unreadable", "the settings could not be read again; those before stay",
                      "key, expected"},
    event_description{"silence_record_unreadable", "a record about a silent worker was left out", "worker"},
    event_description{"start", "the process begins", "zone, peers"},
    event_description{"start_rejected", "a worker did not take a start, and has done nothing", decisionFields},
    event_description{"start_unanswered", "a start got no answer: it may run", decisionFields},
    event_description{"stop", "the process ends", ""},
    event_description{"stop_repeated", "a run that was stopped is still listed", decisionFields},
    event_description{"stopping", "the process was told to stop, and serves until the balancer has noticed", "owner"},
    event_description{"store_lost", "the store does not answer this host", "topic, effect, version"},
    event_description{"store_regained", "it answers again", "topic, offset"},
    event_description{"stray_run", "a worker lists a run that should not be there; it is stopped", decisionFields},
    event_description{"task_evacuated", "a long-running task moves away from a host that leaves", decisionFields},
    event_description{"task_placed", "a run is recorded, and started once that is stored", decisionFields},
    event_description{"wave_known", "a maintenance wave was read", "wave, hosts, cap, rest_ms"},
    event_description{"wave_status", "the state of a wave was reported to the operator",
                      "wave, completed, maintained, hosts"},
    event_description{"wave_unreadable", "a wave was left out", "key, detail"},
    event_description{"worker_entry_unreadable", "a worker's entry was left out: it gets no work",
                      "worker, offset, detail"},
    event_description{"worker_lost", "a worker does not answer: no starts there, its runs last as long as their lease",
                      "worker, placed"},
    event_description{"worker_paused", "a worker on which runs fail gets no starts for a while", decisionFields},
    event_description{"worker_regained", "a worker answers, for the first time or again", "worker, born, running"},
    event_description{"worker_replaced", "another worker answers at a worker's address: that one is gone", "worker"},
};
} // namespace

auto allEvents() -> std::span<const event_description>
{
    return events;
}

auto describeEvents() -> std::string
{
    std::string table = "| event | says | fields |\n|---|---|---|\n";
    for (const auto &event : events) {
        table += "| `" + std::string{event.name} + "` | " + std::string{event.meaning} + " | "
            + std::string{event.fields} + " |\n";
    }
    return table;
}
} // namespace poplarpass::host
