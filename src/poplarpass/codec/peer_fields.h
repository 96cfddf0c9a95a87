#pragma once

#include <poplarpass/request/peer_message.h>

/// \file
/// \brief Field lists of the peer messages, shared by the writer and the reader so that both use the same fields.

namespace poplarpass::codec::internal
{
template <class archive, class type>
using as = typename archive::template as<type>;

template <class archive>
auto visitFields(archive &fields, as<archive, request::member_ref> value) -> void
{
    fields.field("member", value.member);
    fields.field("incarnation", value.incarnation);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::job_spec> value) -> void
{
    fields.field("key", value.key);
    fields.field("team", value.team);
    fields.field("pool", value.pool);
    fields.field("kind", value.kind);
    fields.field("level", value.level);
    fields.field("idempotent", value.idempotent);
    fields.field("cores", value.cores);
    fields.field("memoryMb", value.memoryMb);
    fields.field("declaredRunTime", value.declaredRunTime);
    fields.field("deadline", value.deadline);
    fields.field("payload", value.payload);
    fields.field("traceparent", value.traceparent);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::grant_request> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("epoch", value.epoch);
    fields.field("key", value.key);
    fields.field("digest", value.digest);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::grant_reply> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("epoch", value.epoch);
    fields.field("key", value.key);
    fields.field("status", value.status);
    fields.field("holder", value.holder);
    fields.field("answer", value.answer);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::promise_request> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("epoch", value.epoch);
    fields.field("key", value.key);
    fields.field("digest", value.digest);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::promise_reply> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("epoch", value.epoch);
    fields.field("key", value.key);
    fields.field("status", value.status);
    fields.field("holder", value.holder);
    fields.field("claimants", value.claimants);
    fields.field("answer", value.answer);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::job_query> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("key", value.key);
    fields.field("digest", value.digest);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::job_report> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("key", value.key);
    fields.field("phase", value.phase);
    fields.field("holder", value.holder);
    fields.field("answer", value.answer);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::cancel_request> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("key", value.key);
    fields.field("hops", value.hops);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::cancel_reply> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("key", value.key);
    fields.field("outcome", value.outcome);
    fields.field("answer", value.answer);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::delegate> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("epoch", value.epoch);
    fields.field("granted", value.granted);
    fields.field("hops", value.hops);
    fields.field("spec", value.spec);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::delegate_reply> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("key", value.key);
    fields.field("status", value.status);
    fields.field("holder", value.holder);
    fields.field("answer", value.answer);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::transferred_key> value) -> void
{
    fields.field("key", value.key);
    fields.field("digest", value.digest);
    fields.field("holder", value.holder);
    fields.field("claimants", value.claimants);
    fields.field("answer", value.answer);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::handover> value) -> void
{
    fields.field("correlation", value.correlation);
    fields.field("keys", value.keys);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::handover_reply> value) -> void
{
    fields.field("correlation", value.correlation);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::pool_demand> value) -> void
{
    fields.field("pool", value.pool);
    fields.field("queued", value.queued);
    fields.field("running", value.running);
    fields.field("arrivals", value.arrivals);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::heartbeat> value) -> void
{
    fields.field("from", value.from);
    fields.field("sequence", value.sequence);
    fields.field("echo", value.echo);
    fields.field("echoIncarnation", value.echoIncarnation);
    fields.field("epoch", value.epoch);
    fields.field("actingEpoch", value.actingEpoch);
    fields.field("foldedOffset", value.foldedOffset);
    fields.field("stateDigest", value.stateDigest);
    fields.field("logFresh", value.logFresh);
    fields.field("leaving", value.leaving);
    fields.field("controlEpoch", value.controlEpoch);
    fields.field("hears", value.hears);
    fields.field("demand", value.demand);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::worker_contact> value) -> void
{
    fields.field("host", value.host);
    fields.field("reached", value.reached);
    fields.field("bootId", value.bootId);
    fields.field("draining", value.draining);
    fields.field("pool", value.pool);
    fields.field("generation", value.generation);
    fields.field("age", value.age);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::worker_contact_report> value) -> void
{
    fields.field("sightings", value.sightings);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::state_request> value) -> void
{
    fields.field("knownOffset", value.knownOffset);
}

template <class archive>
auto visitFields(archive &fields, as<archive, request::state_reply> value) -> void
{
    fields.field("offset", value.offset);
    fields.field("digest", value.digest);
    fields.field("state", value.state);
}
} // namespace poplarpass::codec::internal
