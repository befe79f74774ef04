#pragma once

#include "command/entry_process.hpp"
#include "connection/admin_types.hpp"

namespace jacinthvane {

// Binds the operations of the admin interface to the services of a process, which must outlive the result.
admin_operations make_admin_operations(entry_process& process);

}  // namespace jacinthvane
