#include "ctl/keyspage.h"

#include "configuration/documentschema.h"
#include "inidocument/keypage.h"
#include "settings/edgesettingsloader.h"
#include "settings/settingsloader.h"

namespace gooseberrywall {

auto keysPage() -> std::string
{
    return "# Keys\n\n"
           "Printed by `gooseberrywallctl config keys`; the descriptions stand in the code that "
           "reads "
           "the keys.\n"
           "Lines have at most 190 bytes; lists may go on in indented lines. `#` starts a comment "
           "line, ` ;` a comment\nafter a value. A document with any fault is refused whole.\n"
           "\n## The operators' document\n\n"
           "Edited by `gooseberrywallctl config`; in force at all daemons within seconds.\n"
           + describeSections(documentSchema())
           + "\n## A daemon's settings\n\n"
             "The file that `gooseberrywalld --config FILE` reads at its start; `--check` checks "
             "it.\n"
           + describeSections(daemonSettingsDescription())
           + "\n## An edge daemon's settings\n\n"
             "The file that `gooseberrywall-edge --config FILE` reads at its start; `--check` "
             "checks "
             "it.\n"
           + describeSections(edgeSettingsDescription());
}

} // namespace gooseberrywall
