#include "ownership/internal/recordformat.h"
#include "ownership/recordcodec.h"

#include "ownership/schema/cellrecord.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <stdexcept>
#include <utility>

namespace gooseberrywall {

namespace {

/// Limits the work on a damaged record; 32 MB of decoded data.
constexpr std::uint64_t decodeLimitWords = 4'000'000;

/// Thrown and caught inside the decoder only.
class DanglingIndexError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

auto toString(capnp::Text::Reader reader) -> std::string
{
    return {reader.cStr(), reader.size()};
}

class RecordReader
{
public:
    explicit RecordReader(schema::CellRecord::Reader root)
        : root(root)
    {
    }

    auto read() -> CellRecord
    {
        this->readHeader();
        this->readUpstreams();
        this->readShards();
        this->readRequests();
        return std::move(this->record);
    }

private:
    [[nodiscard]] auto name(std::uint16_t index) const -> std::string
    {
        if (index == 0) {
            return {};
        }
        if (index > this->root.getNames().size()) {
            throw DanglingIndexError("name index is past the end of the names");
        }
        return toString(this->root.getNames()[index - 1]);
    }

    [[nodiscard]] auto upstream(std::uint16_t index) const -> UpstreamId
    {
        if (index == 0) {
            return {};
        }
        if (index > this->record.upstreams.size()) {
            throw DanglingIndexError("upstream index is past the end of the upstreams");
        }
        return this->record.upstreams[index - 1].id;
    }

    auto readHeader() -> void
    {
        this->record.version = RecordVersion{this->root.getVersion()};
        this->record.operation = OperationId{toString(this->root.getOperation())};
        this->record.coordinator = DaemonId{this->name(this->root.getCoordinator())};
        this->record.coordinatorIncarnation = Incarnation{this->root.getCoordinatorIncarnation()};
        this->record.highestTerm = Term{this->root.getHighestTerm()};
        for (const auto entry : this->root.getServices()) {
            this->record.services.push_back(
                {ServiceName{this->name(entry.getName())}, entry.getShardCount()});
        }
    }

    auto readUpstreams() -> void
    {
        for (const auto source : this->root.getUpstreams()) {
            UpstreamEntry entry;
            entry.id = UpstreamId{toString(source.getId())};
            entry.service = ServiceName{this->name(source.getService())};
            entry.domain = FailureDomain{this->name(source.getDomain())};
            entry.address = Address{toString(source.getAddress())};
            entry.incarnation = Incarnation{source.getIncarnation()};
            entry.state = toEnumerator(source.getState(), UpstreamState::Lost);
            entry.drainOrdered = source.getDrainOrdered();
            entry.grantor = DaemonId{this->name(source.getGrantor())};
            entry.grantorIncarnation = Incarnation{source.getGrantorIncarnation()};
            entry.term = Term{source.getTerm()};
            entry.standby = DaemonId{this->name(source.getStandby())};
            entry.standbyIncarnation = Incarnation{source.getStandbyIncarnation()};
            for (const auto former : source.getFormerGrantors()) {
                entry.formerGrantors.push_back({DaemonId{this->name(former.getDaemon())},
                                                Incarnation{former.getIncarnation()},
                                                Term{former.getTerm()}});
            }
            this->record.upstreams.push_back(std::move(entry));
        }
        std::size_t position = 0;
        for (const auto source : this->root.getUpstreams()) {
            this->record.upstreams[position].successor = this->upstream(source.getSuccessor());
            ++position;
        }
    }

    auto readShards() -> void
    {
        for (const auto source : this->root.getShards()) {
            ShardEntry entry;
            entry.id = {ServiceName{this->name(source.getService())}, source.getNumber()};
            entry.stage = toEnumerator(source.getStage(), ShardStage::Transferring);
            entry.owner = this->upstream(source.getOwner());
            entry.fence = {source.getTerm(), source.getSequence()};
            entry.next = this->upstream(source.getNext());
            entry.nextFence = {source.getNextTerm(), source.getNextSequence()};
            this->record.shards.push_back(std::move(entry));
        }
        for (const auto source : this->root.getPinnedKeys()) {
            this->record.pinnedKeys.push_back({ServiceName{this->name(source.getService())},
                                               Key{toString(source.getKey())}, source.getNumber()});
        }
    }

    [[nodiscard]] auto request(schema::Request::Reader source) const -> QuarantinedRequest
    {
        return {RequestId{toString(source.getId())}, ServiceName{this->name(source.getService())},
                Key{toString(source.getKey())}};
    }

    auto readRequests() -> void
    {
        for (const auto source : this->root.getQuarantine()) {
            this->record.quarantine.push_back(this->request(source));
        }
        for (const auto source : this->root.getSightings()) {
            this->record.suspectedCrashes.push_back({this->request(source.getRequest()),
                                                     UpstreamId{toString(source.getUpstream())},
                                                     Incarnation{source.getIncarnation()}});
        }
    }

    template<typename Enumeration>
    static auto toEnumerator(std::uint8_t value, Enumeration last) -> Enumeration
    {
        if (value > static_cast<std::uint8_t>(last)) {
            throw DanglingIndexError("enumerator is unknown");
        }
        return static_cast<Enumeration>(value);
    }

    schema::CellRecord::Reader root;
    CellRecord record;
};

} // namespace

auto remedy(RecordError error) -> std::string_view
{
    switch (error) {
    case RecordError::None:
        return "Nothing to do.";
    case RecordError::Malformed:
        return "Damaged or too large: stop other writers of the record, and restore it.";
    case RecordError::UnknownFormat:
        return "Run the same version of gooseberrywalld in the whole cell.";
    case RecordError::DanglingIndex:
        return "Report a defect of the writing program: the record contains invalid references.";
    }
    return "";
}

auto RecordDecoder::decode(std::string_view bytes) -> std::optional<CellRecord>
{
    this->error = RecordError::None;
    const kj::ArrayPtr<const kj::byte> source(
        reinterpret_cast<const kj::byte *>(bytes.data()), // NOLINT
        bytes.size());
    try {
        kj::ArrayInputStream stream(source);
        capnp::ReaderOptions options;
        options.traversalLimitInWords = decodeLimitWords;
        capnp::PackedMessageReader message(stream, options);
        const auto root = message.getRoot<schema::CellRecord>();
        if (root.getFormat() != recordFormat) {
            this->error = RecordError::UnknownFormat;
            return std::nullopt;
        }
        return RecordReader(root).read();
    } catch (const DanglingIndexError &) {
        this->error = RecordError::DanglingIndex;
    } catch (const kj::Exception &) {
        this->error = RecordError::Malformed;
    }
    return std::nullopt;
}

} // namespace gooseberrywall
