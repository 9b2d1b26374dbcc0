#include "operate/survey.h"

#include <algorithm>
#include <istream>
#include <ostream>

#include <spdlog/fmt/fmt.h>

#include "runtime/digest.h"

namespace peridotgate::operate {
namespace {

constexpr double kFullShare = 100;
constexpr double kShareTolerance = 0.005;

// One run of the questionnaire; `at_end_` is set at the end of the input.
class Questionnaire {
 public:
  Questionnaire(std::istream& in, std::ostream& out, const MakeKey& make_key)
      : in_(in), out_(out), make_key_(make_key) {}

  std::optional<Answers> Run() {
    out_ << "First the backend servers, then the organisations.\n";
    do {
      answers_.targets.push_back(
          AskNew(TargetFields(), "group of backend servers", answers_.targets));
    } while (AskMore("Is there another group of backend servers?"));
    double remaining = kFullShare;
    do {
      answers_.organisations.push_back(AskOrganisation(remaining));
      remaining -= answers_.organisations.back().share;
    } while (HasRemainingShare("organisations", remaining));
    answers_.operator_keys.push_back(AskKey("the operators"));
    return at_end_ ? std::nullopt : std::optional<Answers>(std::move(answers_));
  }

 private:
  std::string ReadLine() {
    std::string line;
    if (!std::getline(in_, line)) {
      at_end_ = true;
    }
    return line;
  }

  template <class T>
  T AskFields(std::span<const Field<T>> fields) {
    T into;
    for (const Field<T>& it : fields) {
      Ask(it, into);
    }
    return into;
  }

  template <class T>
  void Ask(const Field<T>& field, T& into) {
    out_ << fmt::format("\n{}\n  {}\n", field.question, field.explanation);
    while (!at_end_) {
      out_ << (field.default_text.empty()
                   ? std::string("> ")
                   : fmt::format("[{}] > ", field.default_text));
      const std::string line = ReadLine();
      const std::string_view text = line.empty() ? field.default_text : line;
      auto fault = Set(field, text, into);
      if (!fault) {
        return;
      }
      out_ << "  " << *fault << "\n";
    }
  }

  bool AskMore(std::string_view question) {
    while (!at_end_) {
      out_ << fmt::format("\n{} (yes or no)\n> ", question);
      const ParsedValue answer =
          ParseValue(FieldType::kYesNo, 0, 0, ReadLine());
      if (answer.value) {
        return std::get<bool>(*answer.value);
      }
      out_ << "  " << answer.fault << "\n";
    }
    return false;
  }

  // Whether part of the 100 % is still unassigned and the input goes on. Prints
  // the unassigned part.
  bool HasRemainingShare(std::string_view what, double remaining) {
    if (remaining <= kShareTolerance) {
      return false;
    }
    out_ << fmt::format("\n{:g} % are left for other {}.\n", remaining, what);
    return !at_end_;
  }

  // Asks a group of fields until its name differs from all in `known` or the
  // input ends.
  template <class T>
  T AskNew(std::span<const Field<T>> fields,
           std::string_view what,
           const std::vector<T>& known) {
    while (true) {
      T it = AskFields(fields);
      const bool is_new =
          std::none_of(known.begin(), known.end(),
                       [&](const T& other) { return other.name == it.name; });
      if (at_end_ || is_new) {
        return it;
      }
      out_ << fmt::format(
          "  there is a {} \"{}\" already; give this one another name\n", what,
          it.name);
    }
  }

  // Whether a share exceeds the remaining percentage; prints a message if so.
  bool IsTooMuch(double share, double remaining) {
    if (share <= remaining + kShareTolerance) {
      return false;
    }
    out_ << fmt::format(
        "  a share of {:g} % is more than the {:g} % that are left; answer "
        "again with less\n",
        share, remaining);
    return true;
  }

  wire::OrganisationRules AskOrganisation(double remaining) {
    wire::OrganisationRules it;
    do {
      it = AskNew(OrganisationFields(), "organisation", answers_.organisations);
    } while (!at_end_ && IsTooMuch(it.share, remaining));
    it.key_digests.push_back(AskKey(it.name));
    out_ << fmt::format("\nNow the kinds of work of {}.\n", it.name);
    double remaining_for_kinds = kFullShare;
    do {
      it.kinds.push_back(AskKind(it, remaining_for_kinds));
      remaining_for_kinds -= it.kinds.back().share;
    } while (HasRemainingShare("kinds of work", remaining_for_kinds));
    AskDefaultAgain(it);
    return it;
  }

  // The default kind was asked before the kinds, so it may name none of them.
  void AskDefaultAgain(wire::OrganisationRules& it) {
    auto is_default = [&](const wire::KindRules& kind) {
      return kind.name == it.default_kind;
    };
    while (!at_end_ &&
           std::none_of(it.kinds.begin(), it.kinds.end(), is_default)) {
      out_ << fmt::format(
          "\n\"{}\" is not one of the kinds of {}; name one of them.\n",
          it.default_kind, it.name);
      Ask(OrganisationFields().back(), it);
    }
  }

  wire::KindRules AskKind(const wire::OrganisationRules& organisation,
                          double remaining) {
    while (true) {
      auto kind = AskNew(KindFields(), "kind of work", organisation.kinds);
      const auto faults = CheckKind(answers_, organisation, kind);
      if (at_end_ || (faults.empty() && !IsTooMuch(kind.share, remaining))) {
        return kind;
      }
      for (const std::string& it : faults) {
        out_ << fmt::format("  {}\n", it);
      }
      out_ << "  answer for this kind again\n";
    }
  }

  // The digest of an existing key, or of a new one.
  std::string AskKey(std::string_view whose) {
    while (!at_end_) {
      out_ << fmt::format(
          "\nThe SHA-256 of a key for {}; empty for a fresh key.\n> ", whose);
      std::string line = ReadLine();
      if (at_end_ || IsDigest(line)) {
        return line;
      }
      if (line.empty()) {
        return ShowFreshKey(whose);
      }
      out_ << "  expected 64 hexadecimal digits, or nothing\n";
    }
    return "";
  }

  std::string ShowFreshKey(std::string_view whose) {
    const std::string key = make_key_();
    out_ << fmt::format(
        "  The key for {} is {}\n  It is shown this once; only its digest is "
        "kept.\n",
        whose, key);
    return runtime::Sha256Hex(key);
  }

  std::istream& in_;
  std::ostream& out_;
  const MakeKey& make_key_;
  Answers answers_;
  bool at_end_ = false;
};

}  // namespace

std::optional<Answers> AskAnswers(std::istream& in,
                                  std::ostream& out,
                                  const MakeKey& make_key) {
  return Questionnaire(in, out, make_key).Run();
}

}  // namespace peridotgate::operate
