#include "decisions/configuration.h"
