package lupinwood.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/** Assembles a voter's stored state for MicroRaft. */
public final class RestoredState {
    private RestoredState() {}

    /**
     * The restored state; null if the voter's identity or its members aren't stored. Uses the
     * latest complete snapshot and the log entries after it.
     *
     * @param chunks the stored chunks of all snapshots, complete or not
     * @param log the stored entries in the order of their indexes; may include entries that a
     *     snapshot covers
     */
    public static RestoredRaftState restore(
            RaftEndpointPersistentState self,
            RaftGroupMembersView members,
            RaftTermPersistentState term,
            Collection<SnapshotChunk> chunks,
            Collection<LogEntry> log) {
        if (self == null || members == null) {
            return null;
        }
        TreeMap<Long, List<SnapshotChunk>> snapshots = new TreeMap<>();
        chunks.forEach(
                chunk ->
                        snapshots
                                .computeIfAbsent(chunk.getIndex(), index -> new ArrayList<>())
                                .add(chunk));
        SnapshotEntry snapshot = null;
        for (List<SnapshotChunk> candidate : snapshots.descendingMap().values()) {
            SnapshotChunk first = candidate.get(0);
            if (snapshot == null && candidate.size() == first.getSnapshotChunkCount()) {
                snapshot =
                        RaftCodec.MODEL_FACTORY
                                .createSnapshotEntryBuilder()
                                .setIndex(first.getIndex())
                                .setTerm(first.getTerm())
                                .setSnapshotChunks(candidate)
                                .setGroupMembersView(first.getGroupMembersView())
                                .build();
            }
        }
        long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
        List<LogEntry> entries =
                log.stream().filter(entry -> entry.getIndex() > snapshotIndex).toList();
        RaftTermPersistentState restoredTerm =
                term != null
                        ? term
                        : RaftCodec.MODEL_FACTORY
                                .createRaftTermPersistentStateBuilder()
                                .setTerm(0)
                                .setVotedFor(null)
                                .build();
        return new RestoredRaftState(self, members, restoredTerm, snapshot, entries);
    }
}
