#include <cstdio>

int main() {
    std::puts("jacinthvane_standin 0.1.0");
    return 0;
}
