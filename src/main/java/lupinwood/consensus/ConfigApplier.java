package lupinwood.consensus;

import java.util.List;
import java.util.function.Consumer;
import lupinwood.cluster.NodeReport;

/** What a node does with the fleet's text. The outcomes may come by any thread. */
public interface ConfigApplier {
    /** A node that can't. */
    ConfigApplier NONE =
            new ConfigApplier() {
                @Override
                public String runs() {
                    return "";
                }

                @Override
                public List<String> cordonsAtStart() {
                    return List.of();
                }

                @Override
                public void check(
                        String digest, String text, Consumer<NodeReport.ConfigCheck> done) {
                    done.accept(
                            new NodeReport.ConfigCheck(
                                    digest, false, false, "this node takes no text"));
                }

                @Override
                public void take(String digest, String text, Consumer<String> done) {
                    done.accept("this node takes no text");
                }
            };

    /** The digest of the text that it was started with; empty for none. */
    String runs();

    /** The servers that rested when this node asked before its start. */
    List<String> cordonsAtStart();

    /** Says whether it could go by the text, and changes nothing. */
    void check(String digest, String text, Consumer<NodeReport.ConfigCheck> done);

    /**
     * Goes by the text from now on, wholly or not at all.
     *
     * @param done hears why not; empty where it does
     */
    void take(String digest, String text, Consumer<String> done);
}
