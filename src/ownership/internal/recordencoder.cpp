#include "ownership/internal/recordformat.h"
#include "ownership/recordcodec.h"

#include "ownership/schema/cellrecord.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <unordered_map>
#include <utility>

namespace gooseberrywall {

namespace {

/// Assigns an index, counted from 1, to each distinct name; the empty name has index 0.
class NameIndex
{
public:
    auto indexOf(const std::string &name) -> std::uint16_t
    {
        if (name.empty()) {
            return 0;
        }
        const auto [entry, isNew] =
            this->indexes.try_emplace(name, static_cast<std::uint16_t>(this->names.size() + 1));
        if (isNew) {
            this->names.push_back(name);
        }
        return entry->second;
    }

    [[nodiscard]] auto all() const -> const std::vector<std::string> & { return this->names; }

private:
    std::unordered_map<std::string, std::uint16_t> indexes;
    std::vector<std::string> names;
};

auto toText(const std::string &value) -> capnp::Text::Reader
{
    return {value.c_str(), value.size()};
}

auto indexUpstreams(const CellRecord &record) -> NameIndex
{
    NameIndex index;
    for (const auto &upstream : record.upstreams) {
        index.indexOf(upstream.id.value);
    }
    return index;
}

class Encoder
{
public:
    explicit Encoder(const CellRecord &record)
        : record(record)
        , upstreams(indexUpstreams(record))
        , recordedUpstreamCount(this->upstreams.all().size())
    {
    }

    auto encode() -> std::string
    {
        capnp::MallocMessageBuilder message;
        auto root = message.initRoot<schema::CellRecord>();
        this->writeHeader(root);
        this->writeServices(root);
        this->writeUpstreams(root);
        this->writeShards(root);
        this->writePinnedKeys(root);
        this->writeRequests(root);
        this->writeNames(root);
        kj::VectorOutputStream out;
        capnp::writePackedMessage(out, message);
        const auto bytes = out.getArray();
        return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
    }

private:
    auto writeHeader(schema::CellRecord::Builder &root) -> void
    {
        root.setFormat(recordFormat);
        root.setVersion(this->record.version.value);
        root.setOperation(toText(this->record.operation.value));
        root.setCoordinator(this->names.indexOf(this->record.coordinator.value));
        root.setCoordinatorIncarnation(this->record.coordinatorIncarnation.value);
        root.setHighestTerm(this->record.highestTerm.value);
    }

    auto writeServices(schema::CellRecord::Builder &root) -> void
    {
        auto list = root.initServices(static_cast<unsigned>(this->record.services.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            const auto &entry = this->record.services[i];
            list[i].setName(this->names.indexOf(entry.service.value));
            list[i].setShardCount(entry.shardCount);
        }
    }

    auto writeUpstreams(schema::CellRecord::Builder &root) -> void
    {
        auto list = root.initUpstreams(static_cast<unsigned>(this->record.upstreams.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            this->writeUpstream(list[i], this->record.upstreams[i]);
        }
    }

    auto writeUpstream(schema::Upstream::Builder target, const UpstreamEntry &entry) -> void
    {
        target.setId(toText(entry.id.value));
        target.setService(this->names.indexOf(entry.service.value));
        target.setDomain(this->names.indexOf(entry.domain.value));
        target.setAddress(toText(entry.address.value));
        target.setIncarnation(entry.incarnation.value);
        target.setState(static_cast<std::uint8_t>(entry.state));
        target.setDrainOrdered(entry.drainOrdered);
        target.setGrantor(this->names.indexOf(entry.grantor.value));
        target.setGrantorIncarnation(entry.grantorIncarnation.value);
        target.setTerm(entry.term.value);
        target.setStandby(this->names.indexOf(entry.standby.value));
        target.setStandbyIncarnation(entry.standbyIncarnation.value);
        target.setSuccessor(this->upstreamIndex(entry.successor));
        auto list = target.initFormerGrantors(static_cast<unsigned>(entry.formerGrantors.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            const auto &former = entry.formerGrantors[i];
            list[i].setDaemon(this->names.indexOf(former.daemon.value));
            list[i].setIncarnation(former.incarnation.value);
            list[i].setTerm(former.term.value);
        }
    }

    auto writeShards(schema::CellRecord::Builder &root) -> void
    {
        auto list = root.initShards(static_cast<unsigned>(this->record.shards.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            const auto &entry = this->record.shards[i];
            list[i].setService(this->names.indexOf(entry.id.service.value));
            list[i].setNumber(entry.id.number);
            list[i].setStage(static_cast<std::uint8_t>(entry.stage));
            list[i].setOwner(this->upstreamIndex(entry.owner));
            list[i].setTerm(entry.fence.term);
            list[i].setSequence(entry.fence.sequence);
            list[i].setNext(this->upstreamIndex(entry.next));
            list[i].setNextTerm(entry.nextFence.term);
            list[i].setNextSequence(entry.nextFence.sequence);
        }
    }

    auto writePinnedKeys(schema::CellRecord::Builder &root) -> void
    {
        auto list = root.initPinnedKeys(static_cast<unsigned>(this->record.pinnedKeys.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            const auto &entry = this->record.pinnedKeys[i];
            list[i].setService(this->names.indexOf(entry.service.value));
            list[i].setNumber(entry.shardNumber);
            list[i].setKey(toText(entry.key.value));
        }
    }

    auto writeRequest(schema::Request::Builder target, const QuarantinedRequest &request) -> void
    {
        target.setId(toText(request.id.value));
        target.setService(this->names.indexOf(request.service.value));
        target.setKey(toText(request.key.value));
    }

    auto writeRequests(schema::CellRecord::Builder &root) -> void
    {
        auto list = root.initQuarantine(static_cast<unsigned>(this->record.quarantine.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            this->writeRequest(list[i], this->record.quarantine[i]);
        }
        auto suspectedCrashes =
            root.initSightings(static_cast<unsigned>(this->record.suspectedCrashes.size()));
        for (unsigned i = 0; i < suspectedCrashes.size(); ++i) {
            const auto &entry = this->record.suspectedCrashes[i];
            this->writeRequest(suspectedCrashes[i].initRequest(), entry.request);
            suspectedCrashes[i].setUpstream(toText(entry.upstream.value));
            suspectedCrashes[i].setIncarnation(entry.incarnation.value);
        }
    }

    auto writeNames(schema::CellRecord::Builder &root) -> void
    {
        const auto &all = this->names.all();
        auto list = root.initNames(static_cast<unsigned>(all.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list.set(i, toText(all[i]));
        }
    }

    /// @returns the upstream's index; 0 for "none" also if the record doesn't have the upstream
    auto upstreamIndex(const UpstreamId &id) -> std::uint16_t
    {
        const auto index = this->upstreams.indexOf(id.value);
        return index <= this->recordedUpstreamCount ? index : 0;
    }

    const CellRecord &record;
    NameIndex upstreams;
    std::size_t recordedUpstreamCount;
    NameIndex names;
};

} // namespace

auto encodeRecord(const CellRecord &record) -> std::string
{
    return Encoder(record).encode();
}

} // namespace gooseberrywall
