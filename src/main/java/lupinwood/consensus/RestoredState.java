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

/** What a voter had kept, put together again for the library. */
public final class RestoredState {
    private RestoredState() {}

    /**
     * Null where it had kept nothing that makes it a voter.
     *
     * @param chunks of all snapshots that are there, whole or not
     * @param log in the order of their numbers, those that a snapshot holds included
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
                                .computeIfAbsent(chunk.getIndex(), none -> new ArrayList<>())
                                .add(chunk));
        SnapshotEntry snapshot = null;
        for (List<SnapshotChunk> one : snapshots.descendingMap().values()) {
            SnapshotChunk first = one.get(0);
            if (snapshot == null && one.size() == first.getSnapshotChunkCount()) {
                snapshot =
                        RaftCodec.MODEL
                                .createSnapshotEntryBuilder()
                                .setIndex(first.getIndex())
                                .setTerm(first.getTerm())
                                .setSnapshotChunks(one)
                                .setGroupMembersView(first.getGroupMembersView())
                                .build();
            }
        }
        long from = snapshot == null ? 0 : snapshot.getIndex();
        List<LogEntry> entries = log.stream().filter(entry -> entry.getIndex() > from).toList();
        RaftTermPersistentState known =
                term != null
                        ? term
                        : RaftCodec.MODEL
                                .createRaftTermPersistentStateBuilder()
                                .setTerm(0)
                                .setVotedFor(null)
                                .build();
        return new RestoredRaftState(self, members, known, snapshot, entries);
    }
}
