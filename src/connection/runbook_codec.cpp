#include "connection/runbook_codec.hpp"

#include <array>
#include <cstdio>

namespace jacinthvane {

namespace {

constexpr std::size_t max_run_bytes = 900U << 10U;

nlohmann::json encode_selection(const upstream_selection& selection) {
    struct visitor {
        nlohmann::json operator()(const any_upstream&) const { return "any"; }
        nlohmann::json operator()(const upstream_id& id) const { return {{"upstream", id.get()}}; }
        nlohmann::json operator()(const rack_id& id) const { return {{"rack", id.get()}}; }
        nlohmann::json operator()(const failure_domain_id& id) const {
            return {{"failure_domain", id.get()}};
        }
    };
    return std::visit(visitor{}, selection);
}

upstream_selection decode_selection(const nlohmann::json* value, const std::string& path,
                                    fault_collector& faults) {
    if (value == nullptr || *value == "any") {
        return any_upstream{};
    }
    if (value->is_object() && value->size() == 1 && value->begin()->is_string()) {
        const auto name = value->begin()->get<std::string>();
        if (value->begin().key() == "upstream") {
            return upstream_id(name);
        }
        if (value->begin().key() == "rack") {
            return rack_id(name);
        }
        if (value->begin().key() == "failure_domain") {
            return failure_domain_id(name);
        }
    }
    faults.add(path, "must be \"any\" or one of { upstream = }, { rack = }, { failure_domain = }");
    return any_upstream{};
}

std::string write_selection_toml(const upstream_selection& selection) {
    const auto value = encode_selection(selection);
    if (value.is_string()) {
        return quote_toml(value.get<std::string>());
    }
    return "{ " + value.begin().key() + " = " + quote_toml(value.begin()->get<std::string>()) + " }";
}

// Finds the enumerator whose get_name is the word; reports an error if there is none.
template <typename Enum, std::size_t Size>
Enum decode_word(const std::string& word, const std::array<Enum, Size>& values, const std::string& path,
                 fault_collector& faults) {
    std::string allowed;
    for (const auto value : values) {
        if (get_name(value) == word) {
            return value;
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(get_name(value));
    }
    faults.add(path, "must be one of " + allowed + ", not \"" + word + "\"");
    return values.front();
}

constexpr std::array failure_actions = {failure_action::stop, failure_action::go_on, failure_action::ask};
constexpr std::array step_states = {step_state::waiting, step_state::started,         step_state::done,
                                    step_state::failed,  step_state::unknown_outcome, step_state::skipped};
constexpr std::array run_states = {run_state::running, run_state::asking, run_state::stopped,
                                   run_state::finished, run_state::cancelled};
constexpr std::array run_knowledges = {run_knowledge::not_run, run_knowledge::may_have_run,
                                       run_knowledge::ran};

nlohmann::json encode_step(const runbook_step& step) {
    return {{"name", step.name},
            {"command", step.command},
            {"arguments", step.arguments},
            {"kind", step.kind.get()},
            {"runs_on", encode_selection(step.runs_on)},
            {"class", step.work_class == task_class::urgent ? "urgent" : "batch"},
            {"processors_milli", step.size.get_processors_milli()},
            {"memory_mb", step.size.get_memory_mb()},
            {"accelerators", step.size.get_accelerators()},
            {"slots", step.size.get_slots()},
            {"idempotent", step.is_idempotent},
            {"timeout_ms", step.timeout_ms},
            {"on_failure", get_name(step.on_failure)}};
}

runbook_step decode_step(const nlohmann::json& value, const std::string& path, fault_collector& faults) {
    object_reader reader(value, path, faults);
    const runbook_step fallback;
    runbook_step step;
    step.name = reader.require_text("name");
    step.command = reader.require_text("command");
    if (const auto* arguments = reader.find_array("arguments")) {
        for (std::size_t i = 0; i < arguments->size(); ++i) {
            const auto& argument = (*arguments)[i];
            if (!argument.is_string()) {
                faults.add(path + ".arguments[" + std::to_string(i) + "]", "must be a string");
                continue;
            }
            step.arguments.push_back(argument.get<std::string>());
        }
    }
    step.kind = task_kind(reader.require_text("kind"));
    step.runs_on = decode_selection(reader.find("runs_on"), reader.get_path("runs_on"), faults);
    const auto work_class = reader.get_text("class", "batch");
    if (work_class != "urgent" && work_class != "batch") {
        faults.add(reader.get_path("class"), "must be urgent or batch, not \"" + work_class + "\"");
    }
    step.work_class = work_class == "urgent" ? task_class::urgent : task_class::batch;
    const auto processors = reader.get_number("processors_milli", fallback.size.get_processors_milli());
    const auto memory = reader.get_number("memory_mb", fallback.size.get_memory_mb());
    const auto accelerators = reader.get_number("accelerators", fallback.size.get_accelerators());
    const auto slots = reader.get_number("slots", fallback.size.get_slots());
    step.size = resource_vector(processors, memory, accelerators, slots);
    // A step is non-idempotent unless its author declares it idempotent, since a wrong default would run it
    // twice.
    step.is_idempotent = reader.get_flag("idempotent", false);
    step.timeout_ms = reader.require_number("timeout_ms");
    step.on_failure = decode_word(reader.get_text("on_failure", "stop"), failure_actions,
                                  reader.get_path("on_failure"), faults);
    reader.finish();
    return step;
}

nlohmann::json encode_step_record(const step_record& step) {
    return {{"state", get_name(step.state)},
            {"run", get_name(step.knowledge)},
            {"attempts", step.attempts},
            {"task", step.task.get()},
            {"detail", step.detail}};
}

step_record decode_step_record(const nlohmann::json& value, const std::string& path,
                               fault_collector& faults) {
    object_reader reader(value, path, faults);
    step_record step;
    step.state = decode_word(reader.require_text("state"), step_states, reader.get_path("state"), faults);
    step.knowledge = decode_word(reader.require_text("run"), run_knowledges, reader.get_path("run"), faults);
    step.attempts = static_cast<std::uint32_t>(reader.get_number("attempts", 0));
    step.task = task_id(reader.get_text("task", ""));
    step.detail = reader.get_text("detail", "");
    return step;
}

}  // namespace

nlohmann::json encode_runbook(const runbook& book) {
    auto steps = nlohmann::json::array();
    for (const auto& step : book.steps) {
        steps.push_back(encode_step(step));
    }
    return {{"name", book.name},
            {"description", book.description},
            {"team", book.team.get()},
            {"steps", std::move(steps)}};
}

runbook decode_runbook(const nlohmann::json& value, const std::string& path, fault_collector& faults) {
    object_reader reader(value, path, faults);
    runbook book;
    book.name = reader.require_text("name");
    book.description = reader.get_text("description", "");
    book.team = team_id(reader.require_text("team"));
    if (const auto* steps = reader.find_array("steps")) {
        for (std::size_t i = 0; i < steps->size() && i <= max_runbook_steps; ++i) {
            book.steps.push_back(
                decode_step((*steps)[i], reader.get_path("steps") + "[" + std::to_string(i) + "]", faults));
        }
    }
    reader.finish();
    return book;
}

std::variant<runbook, config_errors> parse_runbook_toml(std::string_view text) {
    auto read = read_toml(text, max_runbook_bytes);
    if (auto* errors = std::get_if<config_errors>(&read)) {
        return std::move(*errors);
    }
    const auto& document = std::get<text_document>(read);
    fault_collector faults(document, true);
    auto book = decode_runbook(document.root, "", faults);
    if (faults.is_empty()) {
        for (const auto& error : check_runbook(book, "")) {
            faults.add(error.key.starts_with('.') ? error.key.substr(1) : error.key, error.message);
        }
    }
    if (!faults.is_empty()) {
        return faults.take();
    }
    return book;
}

std::string quote_toml(std::string_view text) {
    std::string quoted = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            quoted += '\\';
            quoted += c;
        } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
            std::array<char, 8> code{};
            std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(c));
            quoted += code.data();
        } else {
            quoted += c;
        }
    }
    return quoted + "\"";
}

std::string write_steps_toml(const runbook& book, std::string_view table) {
    std::string text;
    for (const auto& step : book.steps) {
        text += "\n[[" + std::string(table) + "]]\n";
        text += "name = " + quote_toml(step.name) + "\n";
        text += "command = " + quote_toml(step.command) + "\n";
        text += "arguments = [";
        for (std::size_t i = 0; i < step.arguments.size(); ++i) {
            text += (i == 0 ? "" : ", ") + quote_toml(step.arguments[i]);
        }
        text += "]\n";
        text += "kind = " + quote_toml(step.kind.get()) + "\n";
        text += "runs_on = " + write_selection_toml(step.runs_on) + "\n";
        text += std::string("class = ") +
                (step.work_class == task_class::urgent ? "\"urgent\"" : "\"batch\"") + "\n";
        text += "processors_milli = " + std::to_string(step.size.get_processors_milli()) + "\n";
        text += "memory_mb = " + std::to_string(step.size.get_memory_mb()) + "\n";
        text += "accelerators = " + std::to_string(step.size.get_accelerators()) + "\n";
        text += "slots = " + std::to_string(step.size.get_slots()) + "\n";
        text += std::string("idempotent = ") + (step.is_idempotent ? "true" : "false") + "\n";
        text += "timeout_ms = " + std::to_string(step.timeout_ms) + "\n";
        text += "on_failure = " + quote_toml(get_name(step.on_failure)) + "\n";
    }
    return text;
}

std::string write_runbook_toml(const runbook& book) {
    return "name = " + quote_toml(book.name) + "\ndescription = " + quote_toml(book.description) +
           "\nteam = " + quote_toml(book.team.get()) + "\n" + write_steps_toml(book, "steps");
}

nlohmann::json encode_runbook_run(const runbook_run_record& record) {
    auto steps = nlohmann::json::array();
    for (const auto& step : record.steps) {
        steps.push_back(encode_step_record(step));
    }
    return {{"run_id", record.run_id},
            {"runbook", encode_runbook(record.book)},
            {"state", get_name(record.state)},
            {"steps", std::move(steps)},
            {"started_by", record.started_by},
            {"reason", record.reason},
            {"started_at", format_utc(record.started_at)},
            {"question", record.question},
            {"writer", record.writer},
            {"decisions", record.decisions}};
}

std::variant<runbook_run_record, config_errors> decode_runbook_run(std::string_view text) {
    auto read = read_json(text, max_run_bytes);
    if (auto* errors = std::get_if<config_errors>(&read)) {
        return std::move(*errors);
    }
    const auto& document = std::get<text_document>(read);
    fault_collector faults(document, false);
    object_reader reader(document.root, "", faults);
    runbook_run_record record;
    record.run_id = reader.require_text("run_id");
    const auto* book = reader.find("runbook");
    if (book != nullptr) {
        record.book = decode_runbook(*book, "runbook", faults);
    }
    record.state = decode_word(reader.require_text("state"), run_states, "state", faults);
    if (const auto* steps = reader.find_array("steps")) {
        for (std::size_t i = 0; i < steps->size(); ++i) {
            record.steps.push_back(
                decode_step_record((*steps)[i], "steps[" + std::to_string(i) + "]", faults));
        }
    }
    if (record.steps.size() != record.book.steps.size()) {
        faults.add("steps", "must have as many entries as the runbook has steps");
    }
    record.started_by = reader.get_text("started_by", "");
    record.reason = reader.get_text("reason", "");
    record.started_at = parse_utc(reader.get_text("started_at", "")).value_or(utc_time{});
    record.question = reader.get_text("question", "");
    record.writer = reader.get_text("writer", "");
    if (const auto* decisions = reader.find_array("decisions")) {
        for (const auto& item : *decisions) {
            if (item.is_string() && record.decisions.size() < max_run_decisions) {
                record.decisions.push_back(item.get<std::string>());
            }
        }
    }
    if (!faults.is_empty()) {
        return faults.take();
    }
    return record;
}

}  // namespace jacinthvane
