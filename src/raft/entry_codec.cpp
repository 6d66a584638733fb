#include "raft/entry_codec.h"

#include <cstring>
#include <optional>
#include <string_view>
#include <vector>

namespace lotusyard::raft {
namespace {

constexpr std::size_t kAlignment = 8;  // libraft reads 64-bit words from the data of entries
constexpr std::size_t kMaxEntries = 100000;

std::size_t aligned(std::size_t size) { return (size + kAlignment - 1) / kAlignment * kAlignment; }

// An entry whose data still points into the body of the frame.
struct EntryView {
  raft_term term = 0;
  unsigned short type = 0;
  std::string_view data;
};

std::optional<std::vector<EntryView>> read_entry_views(Reader& reader) {
  const std::size_t count = reader.number(4);
  if (!reader.sound() || count > kMaxEntries) {
    return std::nullopt;
  }
  std::vector<EntryView> out;
  for (std::size_t i = 0; i < count; ++i) {
    EntryView entry;
    entry.term = reader.number(8);
    entry.type = static_cast<unsigned short>(reader.number(1));
    entry.data = reader.bytes();
    const bool known_type = entry.type >= RAFT_COMMAND && entry.type <= RAFT_CHANGE;
    if (!reader.sound() || !known_type) {
      return std::nullopt;
    }
    out.push_back(entry);
  }
  return out;
}

// Copies the entries. One block holds the data of all of them, because libraft frees whole batches.
bool copy_entries(const std::vector<EntryView>& views, raft_append_entries& out) {
  std::size_t size = kAlignment;
  for (const auto& view : views) {
    size += aligned(view.data.size());
  }
  auto* entries = static_cast<raft_entry*>(raft_calloc(views.size(), sizeof(raft_entry)));
  char* batch = static_cast<char*>(raft_malloc(size));
  if (entries == nullptr || batch == nullptr) {
    raft_free(entries);
    raft_free(batch);
    return false;
  }
  char* position = batch;
  for (std::size_t i = 0; i < views.size(); ++i) {
    const EntryView& view = views[i];
    raft_entry& entry = entries[i];
    entry.term = view.term;
    entry.type = view.type;
    entry.batch = batch;
    entry.buf.base = position;
    entry.buf.len = view.data.size();
    if (!view.data.empty()) {
      std::memcpy(position, view.data.data(), view.data.size());
    }
    position += aligned(view.data.size());
  }
  out.entries = entries;
  out.n_entries = static_cast<unsigned>(views.size());
  return true;
}

}  // namespace

bool read_entries(Reader& reader, raft_append_entries& out) {
  out.entries = nullptr;
  out.n_entries = 0;
  const auto views = read_entry_views(reader);
  if (!views) {
    return false;
  }
  return views->empty() || copy_entries(*views, out);
}

void put_entries(std::string& out, const raft_append_entries& message) {
  put32(out, message.n_entries);
  for (unsigned i = 0; i < message.n_entries; ++i) {
    const raft_entry& entry = message.entries[i];
    put64(out, entry.term);
    put8(out, entry.type);
    put_bytes(out, entry.buf.base, entry.buf.len);
  }
}

}  // namespace lotusyard::raft
