#include <cstdio>

auto main() -> int
{
    std::puts("poplarpass");
    return 0;
}
