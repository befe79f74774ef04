#include "process/ordered_mutex.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace jacinthvane {

#ifndef NDEBUG

namespace {

thread_local std::vector<lock_rank> held_ranks;

void check_order(lock_rank rank) {
    if (held_ranks.empty() || held_ranks.back() < rank) {
        return;
    }
    std::fprintf(stderr, "lock order violated: acquiring rank %d while rank %d is held\n",
                 static_cast<int>(rank), static_cast<int>(held_ranks.back()));
    std::abort();
}

}  // namespace

void ordered_mutex::lock() {
    check_order(rank_);
    mutex_.lock();
    held_ranks.push_back(rank_);
}

void ordered_mutex::unlock() {
    const auto position = std::find(held_ranks.rbegin(), held_ranks.rend(), rank_);
    held_ranks.erase(std::next(position).base());
    mutex_.unlock();
}

#else

void ordered_mutex::lock() {
    mutex_.lock();
}

void ordered_mutex::unlock() {
    mutex_.unlock();
}

#endif

}  // namespace jacinthvane
