#include <poplarpass/app/command_line.h>

#include <iostream>
#include <string>
#include <vector>

auto main(int argumentCount, char *argumentValues[]) -> int
{
    const std::vector<std::string> arguments{argumentValues + 1, argumentValues + argumentCount};
    poplarpass::app::console streams{std::cout, std::cerr};
    const auto verbs = poplarpass::app::allVerbs();
    return static_cast<int>(poplarpass::app::runCommandLine(arguments, verbs, streams));
}
