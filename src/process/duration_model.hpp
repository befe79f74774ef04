#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace jacinthvane {

// Learns, for each queue, how long tasks take at full speed. Callers declare estimates that can be wrong by a
// multiple, and by a different one for each step, so a declared estimate is weighted by how much it has said
// about the tasks of the queue so far: a linear regression of the logarithm of the measured duration on that
// of the declared one.
class duration_model {
public:
    // Records how long a task took at full speed, in milliseconds.
    void learn(const std::string& queue, std::int64_t declared_ms, double measured_ms);
    // Records by which factor the slowest task of a step took longer than the mean of its tasks.
    void learn_slowest(const std::string& queue, double factor);

    // Returns how long a task with this declared estimate probably takes, in milliseconds. Without any
    // measurements that is the declared estimate.
    double estimate(const std::string& queue, std::int64_t declared_ms) const;
    // Returns by which factor the slowest task of a step probably takes longer than the mean; 1 if unknown.
    double get_slowest_factor(const std::string& queue) const;

private:
    struct statistics {
        // Number of measurements, up to the number that the moving averages cover.
        double count = 0;
        // Means, variance and covariance of the logarithms of the declared and the measured durations.
        double mean_declared = 0;
        double mean_measured = 0;
        double variance = 0;
        double covariance = 0;
        double slowest_count = 0;
        double slowest_factor = 1.0;
    };

    std::map<std::string, statistics> queues_;
};

}  // namespace jacinthvane
