#pragma once

#include <poplarpass/codec/field_reader.h>
#include <poplarpass/fold/fleet_state.h>

#include <vector>

/// Fields of each type that records and states carry, as an array in their order on the wire.
/// fieldsOf() writes them and readFields() reads them back.
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
auto fieldsOf(const fold::config_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::config_record &value) -> void;
auto fieldsOf(const fold::member_join_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::member_join_record &value) -> void;
auto fieldsOf(const fold::member_leave_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::member_leave_record &value) -> void;
auto fieldsOf(const fold::control_claim_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::control_claim_record &value) -> void;
auto fieldsOf(const fold::control_renew_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::control_renew_record &value) -> void;
auto fieldsOf(const fold::host_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::host_record &value) -> void;
auto fieldsOf(const fold::wave_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::wave_record &value) -> void;
auto fieldsOf(const fold::snapshot_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::snapshot_record &value) -> void;
auto fieldsOf(const fold::member_state &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::member_state &value) -> void;
auto fieldsOf(const fold::entry_run &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::entry_run &value) -> void;
auto fieldsOf(const fold::entry_removal &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::entry_removal &value) -> void;
auto fieldsOf(const fold::removal_settled_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::removal_settled_record &value) -> void;
auto fieldsOf(const fold::entry_loss &value) -> nlohmann::json;
auto fieldsOf(const fold::entry_history &entries) -> nlohmann::json;
auto fieldsOf(const fold::control_state &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::entry_loss &loss) -> void;
auto readFields(field_reader &in, fold::entry_history &entries) -> void;
auto readFields(field_reader &in, fold::control_state &value) -> void;
auto fieldsOf(const fold::host_state &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::host_state &value) -> void;
auto fieldsOf(const fold::wave_state &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::wave_state &value) -> void;
auto fieldsOf(const fold::seen_record &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::seen_record &value) -> void;
auto fieldsOf(const fold::state_parts &value) -> nlohmann::json;
auto readFields(field_reader &in, fold::state_parts &value) -> void;

/// \brief Array with the fields of each of \p items.
template <class item>
auto fieldsOfAll(const std::vector<item> &items) -> nlohmann::json
{
    auto all = nlohmann::json::array();
    for (const auto &each : items) {
        all.push_back(fieldsOf(each));
    }
    return all;
}

/// \brief Reader of one nested structure, for field_reader::readItem and readItems.
inline constexpr auto byFields = [](field_reader &in, auto &value) {
    readFields(in, value);
};
} // namespace poplarpass::codec::internal
