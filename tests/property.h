#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

/** Checks a property in a doctest case. The seed is taken from RC_PARAMS and printed. */
#define CHECK_PROPERTY(description, ...) CHECK(rc::check(description, __VA_ARGS__))
