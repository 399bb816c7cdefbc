// Tests of the clients of endpoints, against stand-ins on loopback sockets.

#include <CppUTest/TestHarness.h>
