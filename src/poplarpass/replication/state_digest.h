#pragma once

#include <poplarpass/replication/fleet_state.h>

#include <cstdint>
#include <span>

/// Digests of the parts of the replicated state; each depends on every field of its part.
namespace poplarpass::replication::internal
{
/// \brief Digest of a configuration with its text and revision.
auto digestOf(const config::fleet_config &config, std::string_view text, std::uint64_t revision) -> std::uint64_t;

/// \brief Digest of the member list.
auto digestOf(std::span<const member_state> members) -> std::uint64_t;

/// \brief Digest of the history of the lists of entries.
auto digestOf(const entry_history &entries) -> std::uint64_t;

/// \brief Digest of one host; the state digest includes the sum over all hosts.
auto digestOf(const host_state &host) -> std::uint64_t;

/// \brief Digest of the waves.
auto digestOf(std::span<const wave_state> waves) -> std::uint64_t;

/// \brief Digest of the control role.
auto digestOf(const control_state &control) -> std::uint64_t;

/// \brief Digest of a sequence of numbers.
auto digestOf(std::initializer_list<std::uint64_t> numbers) -> std::uint64_t;
} // namespace poplarpass::replication::internal
