#include "deployment.h"

#include <csignal>
#include <iostream>
#include <unistd.h>

// Usage: cases NAME FOLDER, from the repository's root.
int main(int count, char **arguments)
{
    const std::map<std::string, harness::case_function> cases{
        {"foreign-entry", harness::foreignEntry}, {"gang-of-rack", harness::gangOfRack},
        {"gang-room", harness::gangRoom},         {"rejected-but-runs", harness::rejectedButRuns},
        {"wrong-kind", harness::wrongKind},
    };
    const auto found = count == 3 ? cases.find(arguments[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: cases NAME FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::thread{[] {
        std::this_thread::sleep_for(std::chrono::seconds{115});
        std::cerr << "the case took too long\n";
        _exit(2);
    }}.detach();
    try {
        const int result = found->second(arguments[2]);
        std::cout << (result == 0       ? "the rule held"
                          : result == 1 ? "the rule was broken"
                                        : "the case could not run")
                  << '\n';
        return result;
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
