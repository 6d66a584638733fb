#include "golden/golden_part.h"

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

std::map<std::string, PartFunction> all_parts() {
  return {{"admin", admin_part},
          {"amqp", amqp_part},
          {"compliance", compliance_part},
          {"control", control_part},
          {"gossip", gossip_part},
          {"hosts", hosts_part},
          {"maintenance", maintenance_part},
          {"quota", quota_part},
          {"raft", raft_part},
          {"records", records_part},
          {"resp", resp_part},
          {"stores", stores_part}};
}

StoredSamples read_golden(const std::string& part) {
  std::ifstream file(path_of(part));
  if (!file)
    throw std::runtime_error("no file " + path_of(part));
  StoredSamples out;
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t tab = line.find('\t');
    if (tab == std::string::npos)
      throw std::runtime_error("a line without a tab in " + path_of(part));
    out.emplace(line.substr(0, tab), unescaped(line.substr(tab + 1)));
  }
  return out;
}

void write_golden(const Part& part) {
  std::ofstream file(path_of(part.name), std::ios::trunc);
  for (const auto& sample : part.samples)
    file << sample.name << '\t' << escaped(sample.encoded) << '\n';
  if (!file.flush())
    throw std::runtime_error("can't write " + path_of(part.name));
}

}  // namespace lotusyard::golden
