#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "process/ordered_mutex.hpp"
#include "version/config_error.hpp"
#include "version/key_set.hpp"

namespace jacinthvane {

// Parses the TOML text of a key file. Error messages never contain a token or a key.
std::variant<key_set_ptr, config_errors> parse_key_file(std::string_view text);

// The access tokens and peer keys in use. Each reload replaces the complete set atomically while the process
// runs.
class key_file {
public:
    explicit key_file(std::string path) : path_(std::move(path)) {}

    // Reads the file again. If it has errors, returns them and keeps the current keys.
    config_errors reload();

    // Installs keys that were read from another source.
    void replace(key_set_ptr keys);

    // Never nullptr; empty before the first successful reload.
    key_set_ptr get() const;

private:
    const std::string path_;
    mutable ordered_mutex mutex_{lock_rank::admin};
    key_set_ptr keys_ = std::make_shared<const key_set>();
};

}  // namespace jacinthvane
