// hickoryctl, the operators' client, as a function.

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace hickorystand {

// Runs one command line, without the program's name, and answers the exit code
// that the error table gives.
int RunCtl(const std::vector<std::string>& arguments,
           std::ostream& out,
           std::ostream& error);

}  // namespace hickorystand
