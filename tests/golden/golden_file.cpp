#include "golden/golden_file.h"

#include <fstream>

namespace lotusyard::golden {
namespace {

constexpr char kFolder[] = LOTUSYARD_GOLDEN_FOLDER;
constexpr char kDigits[] = "0123456789abcdef";
constexpr std::size_t kEscapeSize = 4;  // \xNN

std::string path_of(const std::string& name) { return std::string(kFolder) + "/" + name + ".golden"; }

bool is_plain(char c) { return c >= ' ' && c <= '~' && c != '\\'; }

std::string escaped(const std::string& bytes) {
  std::string out;
  for (const char c : bytes) {
    if (is_plain(c)) {
      out += c;
      continue;
    }
    const auto value = static_cast<unsigned char>(c);
    out += "\\x";
    out += kDigits[value >> 4];
    out += kDigits[value & 0xf];
  }
  return out;
}

std::string unescaped(const std::string& text) {
  std::string out;
  for (std::size_t at = 0; at < text.size();) {
    if (text[at] != '\\') {
      out += text[at++];
      continue;
    }
    out += static_cast<char>(std::stoi(text.substr(at + 2, 2), nullptr, 16));
    at += kEscapeSize;
  }
  return out;
}

}  // namespace

std::map<std::string, GoldenFileFunction> all_golden_files() {
  return {{"admin", admin_golden},
          {"amqp", amqp_golden},
          {"compliance", compliance_golden},
          {"control", control_golden},
          {"gossip", gossip_golden},
          {"hosts", hosts_golden},
          {"maintenance", maintenance_golden},
          {"quota", quota_golden},
          {"raft", raft_golden},
          {"records", records_golden},
          {"resp", resp_golden},
          {"stores", stores_golden}};
}

StoredSamples read_golden(const std::string& name) {
  std::ifstream file(path_of(name));
  if (!file)
    throw std::runtime_error("cannot open " + path_of(name));
  StoredSamples out;
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t tab = line.find('\t');
    if (tab == std::string::npos)
      throw std::runtime_error("line without a tab in " + path_of(name));
    out.emplace(line.substr(0, tab), unescaped(line.substr(tab + 1)));
  }
  return out;
}

void write_golden(const GoldenFile& golden) {
  std::ofstream file(path_of(golden.name), std::ios::trunc);
  for (const auto& sample : golden.samples)
    file << sample.name << '\t' << escaped(sample.encoded) << '\n';
  if (!file.flush())
    throw std::runtime_error("cannot write " + path_of(golden.name));
}

}  // namespace lotusyard::golden
