#include <poplarpass/settings/toml_reader.h>

#include <sstream>

namespace poplarpass::settings::internal
{
namespace
{
constexpr std::size_t maxValueLength = 60;

auto lineOf(const toml::node &node) -> int
{
    return static_cast<int>(node.source().begin.line);
}

auto rangeText(std::string_view kind, const std::string &minimum, const std::string &maximum) -> std::string
{
    return std::string{kind} + " from " + minimum + " to " + maximum;
}

auto shortNumber(double value) -> std::string
{
    std::ostringstream out;
    out << value;
    return out.str();
}
} // namespace

toml_reader::toml_reader(const toml::table &table, std::string path, problem_sink &sink)
    : m_table{&table}
    , m_path{std::move(path)}
    , m_sink{&sink}
{
}

auto toml_reader::text(std::string_view key) -> std::string
{
    constexpr std::string_view expected = "a non-empty string";
    const auto *node = findRequired(key, expected);
    if (node == nullptr) {
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
        addProblem(*node, key, std::string{expected}, describe(*node));
        return {};
    }
    return *value;
}

auto toml_reader::integer(std::string_view key, int minimum, int maximum) -> int
{
    const auto expected = rangeText("an integer", std::to_string(minimum), std::to_string(maximum));
    const auto *node = findRequired(key, expected);
    if (node == nullptr) {
        return minimum;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < minimum || *value > maximum) {
        addProblem(*node, key, expected, describe(*node));
        return minimum;
    }
    return static_cast<int>(*value);
}

auto toml_reader::optionalInteger(std::string_view key, int minimum, int maximum) -> std::optional<int>
{
    return find(key) == nullptr ? std::nullopt : std::optional<int>{integer(key, minimum, maximum)};
}

auto toml_reader::number(std::string_view key, double minimum, double maximum) -> double
{
    const auto expected = rangeText("a number", shortNumber(minimum), shortNumber(maximum));
    const auto *node = findRequired(key, expected);
    if (node == nullptr) {
        return minimum;
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    // Comparisons with NaN are false, so NaN is rejected as well.
    const bool inRange = value && *value >= minimum && *value <= maximum;
    if (!inRange) {
        addProblem(*node, key, expected, describe(*node));
        return minimum;
    }
    return *value;
}

auto toml_reader::flag(std::string_view key, bool defaultValue) -> bool
{
    const auto *node = find(key);
    if (node == nullptr) {
        return defaultValue;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        addProblem(*node, key, "true or false", describe(*node));
    }
    return value.value_or(defaultValue);
}

auto toml_reader::texts(std::string_view key) -> std::vector<std::string>
{
    constexpr std::string_view expected = "an array of strings";
    const auto *node = findRequired(key, expected);
    const auto *array = node == nullptr ? nullptr : node->as_array();
    if (node != nullptr && array == nullptr) {
        addProblem(*node, key, std::string{expected}, describe(*node));
    }
    std::vector<std::string> values;
    for (std::size_t index = 0; array != nullptr && index < array->size(); ++index) {
        const auto &item = *array->get(index);
        if (const auto value = item.value_exact<std::string>()) {
            values.push_back(*value);
        } else {
            addProblem(item, key, "a string", describe(item));
        }
    }
    return values;
}

auto toml_reader::tables(std::string_view key, const std::function<void(toml_reader &)> &readTable) -> void
{
    const auto *node = find(key);
    if (node == nullptr) {
        return;
    }
    const auto *array = node->as_array();
    if (array == nullptr) {
        addProblem(*node, key, "an array of tables", describe(*node));
        return;
    }
    for (std::size_t index = 0; index < array->size(); ++index) {
        const auto path = pathOf(key) + "[" + std::to_string(index + 1) + "]";
        const auto &item = *array->get(index);
        if (!item.is_table()) {
            addProblem(item, key, "a table", describe(item));
            continue;
        }
        toml_reader nested{*item.as_table(), path, *m_sink};
        readTable(nested);
        nested.reportUnknownKeys();
    }
}

auto toml_reader::table(std::string_view key, const std::function<void(toml_reader &)> &readTable) -> void
{
    const auto *node = find(key);
    if (node == nullptr) {
        return;
    }
    if (!node->is_table()) {
        addProblem(*node, key, "a table", describe(*node));
        return;
    }
    toml_reader nested{*node->as_table(), pathOf(key), *m_sink};
    readTable(nested);
    nested.reportUnknownKeys();
}

auto toml_reader::reportInvalid(std::string_view key, std::string expected, std::string found) -> void
{
    const auto *node = m_table->get(key);
    addProblem(node == nullptr ? *m_table : *node, key, std::move(expected), std::move(found));
}

auto toml_reader::reportUnknownKeys() -> void
{
    for (const auto &[key, node] : *m_table) {
        if (!m_readKeys.contains(key.str())) {
            addProblem(node, key.str(), "a known key", describe(node));
        }
    }
}

auto toml_reader::find(std::string_view key) -> const toml::node *
{
    m_readKeys.emplace(key);
    return m_table->get(key);
}

auto toml_reader::findRequired(std::string_view key, std::string_view expected) -> const toml::node *
{
    const auto *node = find(key);
    if (node == nullptr) {
        addProblem(*m_table, key, std::string{expected}, "nothing");
    }
    return node;
}

auto toml_reader::pathOf(std::string_view key) const -> std::string
{
    return m_path.empty() ? std::string{key} : m_path + "." + std::string{key};
}

auto toml_reader::addProblem(const toml::node &node, std::string_view key, std::string expected, std::string found)
    -> void
{
    m_sink->problems.push_back({m_sink->file, lineOf(node), pathOf(key), std::move(expected), std::move(found)});
}

auto describe(const toml::node &node) -> std::string
{
    if (node.is_table()) {
        return "a table";
    }
    if (node.is_array()) {
        return "an array";
    }
    std::ostringstream out;
    node.visit([&out](const auto &value) { out << value; });
    auto text = out.str();
    if (text.size() > maxValueLength) {
        text = text.substr(0, maxValueLength) + "...";
    }
    return text;
}
} // namespace poplarpass::settings::internal
