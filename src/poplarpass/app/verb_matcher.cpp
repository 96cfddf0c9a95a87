#include <poplarpass/app/verb_matcher.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

namespace poplarpass::app
{
namespace
{
auto splitWords(std::string_view name) -> std::vector<std::string>
{
    std::vector<std::string> words;
    std::size_t begin = 0;
    while (begin < name.size()) {
        const auto end = std::min(name.find(' ', begin), name.size());
        words.emplace_back(name.substr(begin, end - begin));
        begin = end + 1;
    }
    return words;
}

auto startsWith(std::span<const std::string> arguments, std::span<const std::string> words) -> bool
{
    return arguments.size() >= words.size() && std::equal(words.begin(), words.end(), arguments.begin());
}

/// \brief Number of inserted, removed, replaced and swapped characters between \p first and \p second.
auto editDistance(std::string_view first, std::string_view second) -> std::size_t
{
    std::vector<std::size_t> beforeLast(second.size() + 1);
    std::vector<std::size_t> last(second.size() + 1);
    std::iota(last.begin(), last.end(), std::size_t{0});
    for (std::size_t row = 1; row <= first.size(); ++row) {
        std::vector<std::size_t> current(second.size() + 1, row);
        for (std::size_t column = 1; column <= second.size(); ++column) {
            const std::size_t replaced = first[row - 1] == second[column - 1] ? 0 : 1;
            current[column] = std::min({last[column] + 1, current[column - 1] + 1, last[column - 1] + replaced});
            const bool isSwapped =
                row > 1 && column > 1 && first[row - 1] == second[column - 2] && first[row - 2] == second[column - 1];
            if (isSwapped) {
                current[column] = std::min(current[column], beforeLast[column - 2] + 1);
            }
        }
        beforeLast = std::exchange(last, std::move(current));
    }
    return last.back();
}
} // namespace

auto matchVerb(std::span<const std::string> arguments, std::span<const verb> verbs) -> verb_match
{
    verb_match longest;
    for (const auto &candidate : verbs) {
        const auto words = splitWords(candidate.name);
        if (words.size() > longest.words && startsWith(arguments, words)) {
            longest = {&candidate, words.size()};
        }
    }
    return longest;
}

auto verbsOfGroup(std::string_view group, std::span<const verb> verbs) -> std::vector<verb>
{
    const auto prefix = std::string{group} + ' ';
    std::vector<verb> members;
    std::ranges::copy_if(verbs, std::back_inserter(members),
                         [&](const verb &candidate) { return candidate.name.starts_with(prefix); });
    return members;
}

auto verbWords(std::span<const std::string> arguments, std::span<const verb> verbs) -> std::string
{
    std::size_t maxWords = 1;
    for (const auto &candidate : verbs) {
        maxWords = std::max(maxWords, splitWords(candidate.name).size());
    }
    std::string words;
    for (const auto &argument : arguments.first(std::min(maxWords, arguments.size()))) {
        if (argument.starts_with('-')) {
            break;
        }
        words += (words.empty() ? "" : " ") + argument;
    }
    return words;
}

auto nearestVerb(std::string_view words, std::span<const verb> verbs) -> std::string
{
    const auto distanceTo = [words](const verb &candidate) {
        return editDistance(words, candidate.name);
    };
    return std::ranges::min_element(verbs, {}, distanceTo)->name;
}

auto repeatedVerb(std::span<const verb> verbs) -> std::string
{
    std::set<std::string_view> names;
    const auto repeated =
        std::ranges::find_if(verbs, [&names](const verb &candidate) { return !names.insert(candidate.name).second; });
    return repeated == verbs.end() ? std::string{} : repeated->name;
}
} // namespace poplarpass::app
