// Settings of the machine and of the budget (kernel/resource_budget.h), which
// relay hosts and stand-alone hosts share.
//
// Index
//   MachineSettingRules   sections [machine] and [budget]
//   ReadMachine           the machine as stated
//   ReadHeldLimits        the limits of the budget

#pragma once

#include <vector>

#include "kernel/resource_budget.h"
#include "kernel/settings.h"

namespace hickorystand {

// The schema of both sections.
std::vector<SettingRule> MachineSettingRules();

// The machine as the settings state it.
MachineLimits ReadMachine(const Settings& from);

// What the host may hold for others: as set, else the default for the machine,
// whose limits the operating system may tighten.
ResourceLimits ReadHeldLimits(const Settings& from);

}  // namespace hickorystand
