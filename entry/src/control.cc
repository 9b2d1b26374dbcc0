#include "entry/control.h"

#include <atomic>

#include "control/node.h"
#include "orders.h"
#include "runtime/log.h"

namespace peridotgate::entry {
namespace {

control::NodeSettings MakeNodeSettings(const EntrySettings& settings) {
  control::NodeSettings node_settings;
  node_settings.instance = settings.instance;
  node_settings.role = coordination::MemberRole::kEntry;
  node_settings.data_centre = settings.data_centre;
  node_settings.peers = settings.advertised.empty()
                            ? settings.peers
                            : settings.advertised.front();
  node_settings.table = settings.table;
  node_settings.instances = settings.instances;
  node_settings.seeds = settings.seeds;
  return node_settings;
}

}  // namespace

struct Control::Impl {
  Impl(runtime::Duty& duty,
       const coordination::Clock& clock,
       const EntrySettings& settings,
       Publish publish_callback,
       runtime::Metrics& metrics)
      : clock(clock),
        peers(settings.peers),
        publish(std::move(publish_callback)),
        socket(duty.context(),
               metrics,
               [this](const asio::ip::udp::endpoint& from,
                      const wire::Message& message) {
                 node.OnDatagram(from, message);
               }),
        listener(duty.context(),
                 metrics,
                 [this](const std::shared_ptr<wire::Link>& it) { OnLink(it); }),
        node(duty.context(),
             clock,
             MakeNodeSettings(settings),
             socket,
             metrics,
             {.on_configuration_change = [this] { OnConfiguration(); },
              .on_member_change = [this] { OnMembers(); },
              .on_listed_leaving = [](bool) {},
              .on_quarantines = [this] { OnQuarantines(); }}),
        orders(duty, clock, settings.table, node, metrics) {}

  const coordination::Clock& clock;
  runtime::Endpoint peers;
  Publish publish;
  wire::DatagramSocket socket;
  wire::LinkListener listener;
  control::Node node;
  Orders orders;
  std::atomic<std::int64_t> rules_version{0};
  std::atomic<bool> servers_known{false};
  std::shared_ptr<const RulesBook> rules = std::make_shared<RulesBook>();
  std::shared_ptr<const std::vector<platform::ListedInstance>> instances =
      std::make_shared<std::vector<platform::ListedInstance>>();
  std::shared_ptr<const std::vector<coordination::Quarantine>> quarantines =
      std::make_shared<std::vector<coordination::Quarantine>>();

  void OnLink(const std::shared_ptr<wire::Link>& link) {
    link->Start(
        [this](wire::Link& /*from*/, const wire::Message& message) {
          node.OnLinkMessage(message);
        },
        [link](wire::Link& /*closed*/) {});
  }

  void OnConfiguration() {
    const auto& in_force = node.configuration();
    rules =
        std::make_shared<RulesBook>(in_force.version(), in_force.Snapshot());
    rules_version.store(in_force.version());
    orders.OnRules(rules);
    publish(ClusterView{rules, instances, quarantines});
  }

  void OnQuarantines() {
    quarantines = std::make_shared<std::vector<coordination::Quarantine>>(
        node.crashes().quarantines(clock.Now()));
    publish(ClusterView{rules, instances, quarantines});
  }

  void OnMembers() {
    auto directory = node.Directory();
    bool any_agent = false;
    for (const platform::ListedInstance& it : directory) {
      any_agent |= it.role == "agent";
    }
    servers_known.store(any_agent && node.settled());
    instances = std::make_shared<std::vector<platform::ListedInstance>>(
        std::move(directory));
    publish(ClusterView{rules, instances, quarantines});
  }
};

Control::Control(runtime::Duty& duty,
                 const coordination::Clock& clock,
                 const EntrySettings& settings,
                 Publish publish,
                 runtime::Metrics& metrics)
    : impl_(std::make_unique<Impl>(duty,
                                   clock,
                                   settings,
                                   std::move(publish),
                                   metrics)) {}

Control::~Control() = default;

bool Control::Listen(std::string& error) {
  return impl_->socket.Listen(impl_->peers, error) &&
         impl_->listener.Listen(impl_->peers, error);
}

void Control::Start() {
  impl_->node.Start();
  impl_->orders.Start();
}

void Control::Leave() {
  impl_->node.Leave();
}

void Control::OnNewerRules(const NewerRules& notice) {
  impl_->node.CatchUp(notice.agent, notice.version);
}

std::string Control::MembersJson() const {
  return impl_->node.MembersJson();
}

std::string Control::HeardJson() const {
  return impl_->node.HeardJson();
}

bool Control::ready() const {
  return rules_version() > 0 && impl_->servers_known.load();
}

std::int64_t Control::rules_version() const {
  return impl_->rules_version.load();
}

}  // namespace peridotgate::entry
