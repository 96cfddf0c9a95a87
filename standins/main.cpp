#include "standin_options.h"
#include "standin_runner.h"

#include <exception>
#include <iostream>

auto main(int argc, char *argv[]) -> int
{
    try {
        const auto options = standins::parseOptions(argc, argv);
        return options ? standins::run(*options) : 0;
    } catch (const std::exception &problem) {
        std::cerr << "event=failed detail=\"" << problem.what() << "\"\n";
        return 1;
    }
}
