// Field tables of AMQP 0-9-1: the headers of messages and the arguments of methods.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace lotusyard::amqp {

// A value of a table. Nested tables, arrays and rarer types are skipped and read as std::monostate.
using Value = std::variant<std::monostate, bool, std::int64_t, double, std::string>;
using Table = std::map<std::string, Value>;

}  // namespace lotusyard::amqp
