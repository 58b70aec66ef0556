#pragma once

#include "sapphirebank/config/declarations.h"
#include "sapphirebank/config/object_reader.h"

namespace sapphirebank {

// Reports what is wrong between the parts of `declarations`: references to
// names that are not declared, routes that match the same requests, paths and
// methods of the wrong form, digests used twice and plans at equal times.
void CheckDeclarations(const Declarations& declarations, Problems& problems);

}  // namespace sapphirebank
