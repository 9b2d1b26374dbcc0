#include "coordination/share_exchange.h"
#include "rendezvous.h"

namespace peridotgate::coordination {

AccountKey AccountOf(std::string_view target, std::string_view organisation) {
  constexpr int kKeyBits = kAccountKeyBytes * 8;
  return RendezvousRank(organisation, target) &
         ((AccountKey{1} << kKeyBits) - 1);
}

std::string_view Name(ShareStage stage) {
  switch (stage) {
    case ShareStage::kFromServer:
      return "from_server";
    case ShareStage::kFromEntry:
      return "from_entry";
    case ShareStage::kFromDataCentre:
      return "from_data_centre";
    case ShareStage::kTotal:
      return "total";
  }
  return "";
}

}  // namespace peridotgate::coordination
