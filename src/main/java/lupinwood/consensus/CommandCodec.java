package lupinwood.consensus;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;

/** Commands and pages as the texts that the consensus group's log keeps. */
final class CommandCodec {
    /** A page is cut into pieces of so many characters, so that no message grows past its bound. */
    private static final int PIECE = 64 * 1024;

    private CommandCodec() {}

    static String of(ClusterCommand command) {
        JsonObject text = ClusterJson.tree(command).getAsJsonObject();
        text.addProperty("deed", ClusterJson.kindOf(command));
        return text.toString();
    }

    /** Null for a command of a newer version, which all of this version then pass over alike. */
    static ClusterCommand command(String text) {
        JsonObject read = JsonParser.parseString(text).getAsJsonObject();
        Class<? extends ClusterCommand> kind =
                ClusterJson.commandOf(read.get("deed").getAsString());
        return kind == null ? null : ClusterJson.read(read, kind);
    }

    static List<Object> pieces(ClusterState.Snapshot snapshot) {
        String text = ClusterJson.gson().toJson(snapshot);
        List<Object> pieces = new ArrayList<>();
        for (int from = 0; from < text.length(); from += PIECE) {
            pieces.add(text.substring(from, Math.min(text.length(), from + PIECE)));
        }
        return pieces;
    }

    static ClusterState.Snapshot page(List<Object> pieces) {
        StringBuilder text = new StringBuilder();
        pieces.forEach(text::append);
        return ClusterJson.gson().fromJson(text.toString(), ClusterState.Snapshot.class);
    }
}
