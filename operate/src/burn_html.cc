// The report on service-level burn as one self-contained page.
#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "burn_format.h"
#include "operate/burn_report.h"

namespace peridotgate::operate {
namespace {

constexpr std::string_view kHead =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">"
    "<title>Service-level burn</title><style>"
    "body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;padding:12px;"
    "max-width:60em;color:#222;background:#fff}"
    "h1{font-size:1.3em;margin:.2em 0}h2{font-size:1.1em;margin:1.4em 0 .4em}"
    ".note{background:#fff3d6;padding:.4em .6em;border-radius:6px;margin:.3em "
    "0}"
    ".grid{display:grid;gap:10px;"
    "grid-template-columns:repeat(auto-fill,minmax(270px,1fr))}"
    ".card{border:1px solid #ccc;border-left:6px solid #2a7;border-radius:6px;"
    "padding:8px 10px}.card.ticket{border-left-color:#d90}"
    ".card.page{border-left-color:#c22}"
    ".card b{font-size:1.05em}.big{font-size:1.4em;font-weight:600}"
    ".small{font-size:.85em;color:#555}svg{width:100%;height:auto}"
    "table{border-collapse:collapse;width:100%;font-size:.9em}"
    "td,th{text-align:left;padding:3px 6px;border-bottom:1px solid #ddd}"
    "td.n,th.n{text-align:right}</style></head><body>";

constexpr double kPlotWidth = 260;
constexpr double kPlotHeight = 48;
constexpr double kBarWidth = 250;
constexpr std::size_t kMaxServerRows = 5;

std::string Escape(std::string_view text) {
  std::string out;
  for (const char it : text) {
    switch (it) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += it;
    }
  }
  return out;
}

std::string Bar(double x, double width, double height, std::string_view fill) {
  return fmt::format(
      "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
      "fill=\"{}\"/>",
      x, kPlotHeight - height, width, height, fill);
}

// Plots the calls over the window as grey bars, and the bad calls in red in
// front of them.
std::string Plot(const KindReport& kind, const BurnWindow& window) {
  std::int64_t most = 1;
  for (const BurnBar& it : kind.bars) {
    most = std::max(most, it.ratio.calls);
  }
  const std::int64_t step = entry::kBurnTiers[window.tier].period.count();
  const double width = kPlotWidth * static_cast<double>(step) /
                       static_cast<double>(window.length.count());
  std::string svg = fmt::format(
      "<svg viewBox=\"0 0 {:.0f} {:.0f}\" role=\"img\" aria-label=\"calls and "
      "bad calls over {}\"><rect width=\"100%\" height=\"100%\" "
      "fill=\"#f6f6f6\"/>",
      kPlotWidth, kPlotHeight, window.name);
  for (const BurnBar& it : kind.bars) {
    const double scale = kPlotHeight / static_cast<double>(most);
    const double x =
        kPlotWidth -
        width * (static_cast<double>(it.age_s) / static_cast<double>(step) + 1);
    const double bar = std::max(1.0, width - 1);
    svg += Bar(x, bar, scale * static_cast<double>(it.ratio.calls), "#9ab");
    svg += Bar(x, bar, scale * static_cast<double>(it.ratio.bad), "#c22");
  }
  return svg + "</svg>";
}

std::string Card(const KindReport& kind, const BurnWindow& window) {
  std::string html =
      fmt::format("<div class=\"card {}\"><b>{}</b> / {}", kind.alert,
                  Escape(kind.organisation), Escape(kind.kind));
  html += fmt::format(
      "<div class=\"big\">{} budget left</div><div class=\"small\">objective "
      "{}; {} of {} calls bad; alert: {}</div>",
      Budget(kind.budget_left), Percent(kind.objective_ratio), kind.counts.bad,
      kind.counts.calls, kind.alert.empty() ? "none" : kind.alert);
  html += Plot(kind, window);
  html += fmt::format(
      "<div class=\"small\">burn 5m {}, 30m {}, 1h {}, 6h {}"
      "<br>first token p95 {}<br>between tokens p95 {}<br>prefix hit rate {}, "
      "recomputed {} tokens</div></div>",
      Rate(kind.burn[0]), Rate(kind.burn[1]), Rate(kind.burn[2]),
      Rate(kind.burn[3]), VersusTarget(kind.first_p95_ms, kind.first_token_ms),
      VersusTarget(kind.gap_p95_ms, kind.token_gap_ms), HitRate(kind.counts),
      kind.counts.prefill_tokens);
  return html;
}

std::string Shares(const BurnReport& report) {
  std::string html =
      "<h2>Share received, and owed among those who sent work"
      "</h2>";
  for (const OrganisationReport& it : report.organisations) {
    html += fmt::format(
        "<div>{}: {} of {} owed, <b>{}</b><svg viewBox=\"0 0 {:.0f} 10\" "
        "role=\"img\" aria-label=\"share\"><rect width=\"100%\" height=\"10\" "
        "fill=\"#eee\"/><rect width=\"{:.1f}\" height=\"10\" fill=\"#59c\"/>"
        "<rect x=\"{:.1f}\" width=\"2\" height=\"10\" fill=\"#222\"/></svg>"
        "</div>",
        Escape(it.name), Percent(it.received), Percent(it.fair_share),
        it.standing(), kBarWidth, kBarWidth * it.received,
        kBarWidth * it.fair_share);
  }
  return html;
}

std::string Refusals(const BurnReport& report) {
  if (report.refusals.empty()) {
    return "<h2>Refusals</h2><p>None, and nothing failed.</p>";
  }
  std::string html =
      "<h2>Refused or failed, by reason</h2><table><tr><th>organisation</th>"
      "<th>kind</th><th>reason</th><th class=\"n\">calls</th></tr>";
  for (const RefusalReport& it : report.refusals) {
    html += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td class=\"n\">{}</td></tr>",
        Escape(it.organisation), Escape(it.kind), Escape(it.reason), it.calls);
  }
  return html + "</table>";
}

std::string Servers(const BurnReport& report) {
  std::string html =
      "<h2>Backend servers, worst first</h2><table><tr><th>server</th>"
      "<th class=\"n\">bad</th><th class=\"n\">lost</th>"
      "<th class=\"n\">first p95</th>"
      "<th class=\"n\">sent</th><th class=\"n\">even</th></tr>";
  for (std::size_t i = 0; i < report.servers.size() && i < kMaxServerRows;
       ++i) {
    const ServerReport& it = report.servers[i];
    html += fmt::format(
        "<tr><td>{}</td><td class=\"n\">{} of {}</td><td class=\"n\">{}</td>"
        "<td class=\"n\">{}</td><td class=\"n\">{}</td><td "
        "class=\"n\">{}</td></tr>",
        Escape(it.instance), it.counts.bad, it.counts.calls, it.counts.lost,
        Millis(it.first_p95_ms), Percent(it.traffic_share),
        Percent(it.even_share));
  }
  return html + "</table>";
}

}  // namespace

std::string ToHtml(const BurnReport& report, std::string_view made_at) {
  const auto notes = Notes(report);
  std::string html(kHead);
  html += fmt::format("<h1>{}</h1><div class=\"small\">{}</div>",
                      Escape(notes.front()), Escape(made_at));
  for (std::size_t i = 1; i < notes.size(); ++i) {
    html += fmt::format("<div class=\"note\">{}</div>", Escape(notes[i]));
  }
  html += "<h2>Kinds of work</h2><div class=\"grid\">";
  for (const KindReport& it : report.kinds) {
    html += Card(it, report.window);
  }
  html += "</div>";
  html += Shares(report);
  html += Refusals(report);
  html += Servers(report);
  return html + "</body></html>\n";
}

}  // namespace peridotgate::operate
