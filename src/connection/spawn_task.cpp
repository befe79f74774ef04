#include "connection/spawn_task.hpp"

#include <exception>
#include <string>
#include <utility>

#include <glog/logging.h>

namespace jacinthvane {

namespace {

std::string describe(const std::exception_ptr& error) {
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& e) {
        return e.what();
    } catch (...) {
        return "unknown exception";
    }
}

}  // namespace

void spawn_task(asio::io_context& context, const char* name, awaitable<void> task) {
    asio::co_spawn(asio::make_strand(context), std::move(task), [name](const std::exception_ptr& error) {
        if (error) {
            LOG(ERROR) << "event=task_failed task=" << name << " error=\"" << describe(error) << "\"";
        }
    });
}

}  // namespace jacinthvane
