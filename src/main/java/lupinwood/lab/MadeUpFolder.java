package lupinwood.lab;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.util.List;
import java.util.TreeMap;
import lupinwood.council.Kept;

/** A voter's folder in memory: what wasn't flushed is lost with the process. */
final class MadeUpFolder implements RaftStore {
    /** All that is kept; copied to make it durable. */
    private static final class Content {
        RaftEndpointPersistentState self;
        RaftGroupMembersView members;
        RaftTermPersistentState term;
        final TreeMap<Long, LogEntry> log = new TreeMap<>();
        final TreeMap<String, SnapshotChunk> chunks = new TreeMap<>();

        Content copy() {
            Content copy = new Content();
            copy.self = self;
            copy.members = members;
            copy.term = term;
            copy.log.putAll(log);
            copy.chunks.putAll(chunks);
            return copy;
        }
    }

    private final boolean forgetsVotes;
    private Runnable voted = () -> { };
    private Content now = new Content();
    private Content durable = new Content();

    /** @param forgetsVotes a safeguard left out: the term and the vote are never written down */
    MadeUpFolder(boolean forgetsVotes) {
        this.forgetsVotes = forgetsVotes;
    }

    /** Hears of each vote for another. */
    void onVote(Runnable job) {
        voted = job;
    }

    /** The process is gone, and with it what it didn't flush. */
    void crash() {
        now = durable.copy();
    }

    RestoredRaftState restore() {
        return Kept.restore(now.self, now.members, now.term, now.chunks.values(), now.log.values());
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) {
        now.self = self;
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) {
        now.members = members;
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) {
        if (!forgetsVotes) {
            now.term = term;
        }
        flush();
        if (term.getVotedFor() != null && !term.getVotedFor().equals(now.self.getLocalEndpoint())) {
            voted.run();
        }
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        entries.forEach(entry -> now.log.put(entry.getIndex(), entry));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        now.chunks.put(String.format("%019d.%09d", chunk.getIndex(), chunk.getSnapshotChunkIndex()), chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        now.log.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        now.log.headMap(index, true).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        now.chunks.keySet().removeIf(key -> key.startsWith(String.format("%019d.", index)));
    }

    @Override
    public void flush() {
        durable = now.copy();
    }
}
