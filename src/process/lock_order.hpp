#pragma once

namespace jacinthvane {

// Ranks of all locks of the process. A thread that holds a lock may acquire only locks that are listed below
// it. ordered_mutex checks this in debug builds.
enum class lock_rank : int {
    admin = 5,
    config_install = 7,
    fleet_config = 10,
    members = 20,
    peers = 25,
    ownership = 30,
    admission = 40,
    shard_tables = 50,
    cell = 55,
    cell_member = 57,
    config_follower = 58,
    ledger = 60,
    interference = 70,
    ejection = 80,
    quota = 90,
    link_budget = 100,
    connections = 110,
    connection_budget = 115,
    rejections = 117,
    pending_responses = 120,
    store = 130,
    standin = 140,
    signal = 200,
    log = 210,
};

}  // namespace jacinthvane
