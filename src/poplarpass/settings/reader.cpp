#include <poplarpass/settings/consistency_check.h>
#include <poplarpass/settings/key_table.h>
#include <poplarpass/settings/reader.h>
#include <poplarpass/settings/toml_document.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <iterator>
#include <sstream>

namespace poplarpass::settings
{
namespace internal
{
constexpr std::string_view peersKey = "peers";
constexpr std::string_view peersPrefix = "peers[].";
constexpr std::size_t maxValueLength = 60;

auto isName(std::string_view text) -> bool
{
    const auto accepted = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= 64 && std::ranges::all_of(text, accepted);
}

auto isChoice(std::string_view choices, std::string_view text) -> bool
{
    const auto padded = "|" + std::string{choices} + "|";
    return !text.empty() && padded.find("|" + std::string{text} + "|") != std::string::npos;
}

auto isAccepted(const key_description &key, const std::string &text) -> bool
{
    switch (key.type) {
    case key_type::name:
        return isName(text);
    case key_type::address:
        return isAddress(text);
    case key_type::choice:
        return isChoice(key.choices, text);
    case key_type::text:
        return std::ssize(text) >= key.minimum && std::ssize(text) <= key.maximum;
    default:
        return false;
    }
}

auto readNames(const toml::node &node) -> std::optional<key_value>
{
    const auto *array = node.as_array();
    if (array == nullptr || array->empty()) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    for (const auto &element : *array) {
        const auto *text = element.as_string();
        if (text == nullptr || !isName(text->get())) {
            return std::nullopt;
        }
        names.push_back(text->get());
    }
    return names;
}

// Returns the value of the node if it is valid for the key.
auto readValue(const key_description &key, const toml::node &node) -> std::optional<key_value>
{
    if (key.type == key_type::name_list) {
        return readNames(node);
    }
    if (key.type == key_type::integer) {
        const auto *number = node.as_integer();
        if (number == nullptr || number->get() < key.minimum || number->get() > key.maximum) {
            return std::nullopt;
        }
        return number->get();
    }
    const auto *text = node.as_string();
    if (text == nullptr || !isAccepted(key, text->get())) {
        return std::nullopt;
    }
    return text->get();
}

auto parseDefault(const key_description &key) -> key_value
{
    if (key.type != key_type::integer) {
        return std::string{key.defaultValue};
    }
    std::int64_t number = 0;
    std::from_chars(key.defaultValue.data(), key.defaultValue.data() + key.defaultValue.size(), number);
    return number;
}

auto lineOf(const toml::node &node) -> int
{
    return static_cast<int>(node.source().begin.line);
}

// Problems never contain a secret, because they are written to logs.
auto foundText(std::string_view key, const toml::node &node) -> std::string
{
    if (key == "deployment.secret") {
        return "a redacted value";
    }
    std::ostringstream text;
    node.visit([&text](const auto &value) { text << value; });
    auto found = text.str();
    if (found.size() > maxValueLength) {
        found = found.substr(0, maxValueLength) + "...";
    }
    return found;
}

class settings_reader
{
public:
    explicit settings_reader(std::string_view fileName)
        : m_problems{fileName}
    {
    }

    auto read(const toml::table &root) -> settings_result
    {
        storeDefaults();
        for (const auto &[section, node] : root) {
            readSection(section.str(), node);
        }
        addMissing({}, {}, 0);
        readSecretFile();
        fillAdvertise();
        checkConsistency(m_settings, m_problems);
        return m_problems.toResult(std::move(m_settings));
    }

private:
    auto readSection(std::string_view section, const toml::node &node) -> void
    {
        if (section == peersKey) {
            readPeers(node);
        } else if (const auto *table = node.as_table()) {
            readTable(std::string{section} + ".", std::string{section} + ".", *table);
        } else {
            m_problems.add(lineOf(node), section, "a section", foundText(section, node));
        }
    }

    auto readPeers(const toml::node &node) -> void
    {
        const auto *array = node.as_array();
        if (array == nullptr) {
            m_problems.add(lineOf(node), peersKey, "sections [[peers]]", foundText(peersKey, node));
            return;
        }
        for (std::size_t index = 0; index < array->size(); ++index) {
            readPeer("peers[" + std::to_string(index) + "].", *array->get(index));
        }
    }

    auto readPeer(const std::string &displayPrefix, const toml::node &node) -> void
    {
        const auto *table = node.as_table();
        if (table == nullptr) {
            m_problems.add(lineOf(node), peersKey, "sections [[peers]]", foundText(peersKey, node));
            return;
        }
        m_settings.peers.emplace_back();
        readTable(peersPrefix, displayPrefix, *table);
        addMissing(peersPrefix, displayPrefix, lineOf(node));
    }

    auto readTable(std::string_view prefix, const std::string &displayPrefix, const toml::table &table) -> void
    {
        for (const auto &[key, node] : table) {
            readKey(std::string{prefix} + std::string{key.str()}, displayPrefix + std::string{key.str()}, node);
        }
    }

    auto readKey(const std::string &name, const std::string &displayName, const toml::node &node) -> void
    {
        m_problems.recordLine(displayName, lineOf(node));
        const auto *key = findKey(name);
        if (key == nullptr) {
            m_problems.add(lineOf(node), displayName, "a known key", foundText(name, node));
            return;
        }
        const auto value = readValue(*key, node);
        if (!value) {
            m_problems.add(lineOf(node), displayName, acceptedValues(*key), foundText(name, node));
            return;
        }
        key->store(m_settings, *value);
    }

    // Keys of [[peers]] are checked for each peer, all others once for the file.
    auto addMissing(std::string_view prefix, const std::string &displayPrefix, int line) -> void
    {
        for (const auto &key : keyTable()) {
            const bool isPeerKey = key.name.starts_with(peersPrefix);
            if (isPeerKey == prefix.empty()) {
                continue;
            }
            const auto displayName = displayPrefix + std::string{key.name.substr(prefix.size())};
            if (key.required && !m_problems.isPresent(displayName)) {
                m_problems.add(line, displayName, acceptedValues(key), "nothing");
            }
        }
    }

    auto storeDefaults() -> void
    {
        for (const auto &key : keyTable()) {
            if (!key.defaultValue.empty()) {
                key.store(m_settings, parseDefault(key));
            }
        }
    }

    auto readSecretFile() -> void
    {
        auto &deployment = m_settings.deployment;
        if (deployment.secretFile.empty() || m_problems.isPresent("deployment.secret")) {
            return;
        }
        std::ifstream file{deployment.secretFile};
        deployment.secret.assign(std::istreambuf_iterator<char>{file}, {});
        deployment.secret.erase(deployment.secret.find_last_not_of(" \t\r\n") + 1);
        if (deployment.secret.size() < minSecretLength) {
            m_problems.add("deployment.secret_file", "a readable file of at least 16 characters",
                           file.is_open() ? "a shorter value" : "a file that cannot be read");
        }
    }

    auto fillAdvertise() -> void
    {
        if (m_settings.listen.advertise.empty()) {
            m_settings.listen.advertise = m_settings.listen.peers;
        }
    }

    process_settings m_settings;
    problem_list m_problems;
};
} // namespace internal

auto isAddress(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (problem != std::errc{} || end != digits.data() + digits.size()) {
        return false;
    }
    std::string host{text.substr(0, colon)};
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    in6_addr bytes{};
    return inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), &bytes) == 1;
}

auto parse(std::string_view text, std::string_view fileName) -> settings_result
{
    const auto document = internal::parseToml(text, fileName);
    if (!document) {
        const auto &[line, description] = document.error();
        return tl::make_unexpected(std::vector{settings_problem{std::string{fileName}, line, "", "TOML", description}});
    }
    return internal::settings_reader{fileName}.read(*document);
}

auto load(std::string_view path) -> settings_result
{
    std::ifstream file{std::string{path}};
    if (!file) {
        std::vector<settings_problem> problems;
        problems.push_back({std::string{path}, 0, "", "a readable file", "a file that cannot be read"});
        return tl::make_unexpected(std::move(problems));
    }
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    return parse(text, path);
}

auto describe(const settings_problem &problem) -> std::string
{
    auto text = problem.file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.key.empty()) {
        text += problem.key + ": ";
    }
    return text + "expected " + problem.expected + ", found " + problem.found;
}
} // namespace poplarpass::settings
