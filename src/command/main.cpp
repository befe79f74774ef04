#include <cstdio>

int main() {
    std::puts("jacinthvane 0.1.0");
    return 0;
}
