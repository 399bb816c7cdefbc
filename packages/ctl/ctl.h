// hickoryctl, the operators' command-line client, as a function that tests can
// call.

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace hickorystand {

// Runs one command line, given without the program's name. Returns 0 or the
// exit code of the error's kind, as in the error table.
int RunCtl(const std::vector<std::string>& arguments,
           std::ostream& out,
           std::ostream& error);

}  // namespace hickorystand
