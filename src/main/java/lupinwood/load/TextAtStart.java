package lupinwood.load;

import java.util.List;
import lupinwood.council.FleetSettings;
import lupinwood.council.Question;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.node.Span;

/**
 * What was agreed while this node was away, asked of the council before the door opens: the text
 * that it is to go by, and the servers to which it is to send nothing. Where nobody answers in time
 * it starts with its files alone, as without a fleet.
 *
 * @param config what it goes by: its files, with the text over them
 * @param digest of the text; empty for none
 */
public record TextAtStart(NodeConfig config, String digest, List<String> rests) {
    private static final Span MOST = Span.ofSeconds(3);

    /** The loader lays the text over the files from then on. */
    public static TextAtStart ask(Loader loader, NodeConfig own, Log log) {
        FleetSettings settings = FleetSettings.of(own.meaning());
        TextAtStart alone = new TextAtStart(own, "", List.of());
        Question.Wanted wanted = null;
        try {
            wanted =
                    Question.wanted(
                            settings.voters().values(),
                            settings.name(),
                            settings.rules().lease().min(MOST),
                            log);
            if (wanted == null) {
                return alone;
            }
            Common common = Common.read(wanted.text());
            NodeConfig config = common.onto(own);
            if (!common.digest().isEmpty()) {
                loader.lay(common);
                log.line("fleet: starts with the text " + common.digest());
            }
            return new TextAtStart(config, common.digest(), wanted.rests());
        } catch (NodeConfig.Unusable e) {
            log.line("fleet: starts without the text agreed on: " + e.getMessage());
            return new TextAtStart(own, "", wanted.rests());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return alone;
        }
    }
}
