#pragma once

#include <poplarpass/codec/field_reader.h>
#include <poplarpass/replication/fleet_state.h>

#include <vector>

/// Fields of the types in records and states, as arrays in wire order: fieldsOf() encodes them, readFields() decodes
/// them.
namespace poplarpass::codec::internal
{
auto fieldsOf(const config::calendar_window &value) -> nlohmann::json;
auto readFields(field_reader &in, config::calendar_window &value) -> void;
auto fieldsOf(const config::calendar &value) -> nlohmann::json;
auto readFields(field_reader &in, config::calendar &value) -> void;
auto fieldsOf(const config::profile &value) -> nlohmann::json;
auto readFields(field_reader &in, config::profile &value) -> void;
auto fieldsOf(const config::pool &value) -> nlohmann::json;
auto readFields(field_reader &in, config::pool &value) -> void;
auto fieldsOf(const config::service &value) -> nlohmann::json;
auto readFields(field_reader &in, config::service &value) -> void;
auto fieldsOf(const config::team &value) -> nlohmann::json;
auto readFields(field_reader &in, config::team &value) -> void;
auto fieldsOf(const config::fleet_config &value) -> nlohmann::json;
auto readFields(field_reader &in, config::fleet_config &value) -> void;
auto fieldsOf(const platform::listed_host &value) -> nlohmann::json;
auto readFields(field_reader &in, platform::listed_host &value) -> void;
auto fieldsOf(const std::vector<core::pool_id> &value) -> nlohmann::json;
auto readFields(field_reader &in, std::vector<core::pool_id> &value) -> void;
auto fieldsOf(const replication::config_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::config_record &value) -> void;
auto fieldsOf(const replication::member_join_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::member_join_record &value) -> void;
auto fieldsOf(const replication::member_leave_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::member_leave_record &value) -> void;
auto fieldsOf(const replication::control_claim_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::control_claim_record &value) -> void;
auto fieldsOf(const replication::control_renew_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::control_renew_record &value) -> void;
auto fieldsOf(const replication::host_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::host_record &value) -> void;
auto fieldsOf(const replication::wave_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::wave_record &value) -> void;
auto fieldsOf(const replication::snapshot_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::snapshot_record &value) -> void;
auto fieldsOf(const replication::member_state &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::member_state &value) -> void;
auto fieldsOf(const replication::entry_incarnation &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::entry_incarnation &value) -> void;
auto fieldsOf(const replication::entry_removal &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::entry_removal &value) -> void;
auto fieldsOf(const replication::removal_settled_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::removal_settled_record &value) -> void;
auto fieldsOf(const replication::entry_loss &value) -> nlohmann::json;
auto fieldsOf(const replication::entry_history &entries) -> nlohmann::json;
auto fieldsOf(const replication::control_state &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::entry_loss &loss) -> void;
auto readFields(field_reader &in, replication::entry_history &entries) -> void;
auto readFields(field_reader &in, replication::control_state &value) -> void;
auto fieldsOf(const replication::host_state &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::host_state &value) -> void;
auto fieldsOf(const replication::wave_state &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::wave_state &value) -> void;
auto fieldsOf(const replication::recent_record &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::recent_record &value) -> void;
auto fieldsOf(const replication::state_parts &value) -> nlohmann::json;
auto readFields(field_reader &in, replication::state_parts &value) -> void;

/// \brief Returns an array with the encoded fields of each of \p items.
template <class item>
auto fieldsOfAll(const std::vector<item> &items) -> nlohmann::json
{
    auto all = nlohmann::json::array();
    for (const auto &each : items) {
        all.push_back(fieldsOf(each));
    }
    return all;
}

/// \brief Calls readFields() for one nested structure; passed to field_reader::readItem() and readItems().
inline constexpr auto readNested = [](field_reader &in, auto &value) {
    readFields(in, value);
};
} // namespace poplarpass::codec::internal
