// Reads the operators' configuration file: TOML with one array of tables per kind.
//
//   [[client_account]]
//   name = "mawr"
//   labels = { tier = "gold" }
//   weight = 3
//
// All errors are listed at once. An unknown field is an error here, since it is most likely
// a typing error; unknown fields of objects in the key-value service are kept.
#pragma once

#include "objects.h"

#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

struct file_fault {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string field; // e.g. "client_account.weight"; may be empty
    std::string expected; // e.g. "expected a whole number, found text"
};
// "objects.toml:3:10: client_account.weight: expected ..."
std::string toString(const file_fault& fault, std::string_view fileName);

struct object_file {
    std::vector<config_object> objects; // in the order of kinds, then of the file
    std::vector<file_fault> faults; // sorted by line; the objects are valid only if there are none
};

object_file readObjects(std::string_view toml);

} // namespace lovagerail
