package lupinwood.load;

import lupinwood.council.FleetSettings;
import lupinwood.council.Question;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.node.Span;

/**
 * Asks the council before the door opens which text this node is to go by, so that one that was away comes back with what
 * was agreed meanwhile. Where nobody answers in time it starts with its files alone, as without a fleet.
 */
public final class TextAtStart {
    private static final Span MOST = Span.ofSeconds(1.5);

    private TextAtStart() {}

    /** What is to be laid over the files; null for nothing. The loader lays it over from then on. */
    public static Common ask(Loader loader, NodeConfig own, Log log) {
        FleetSettings settings = FleetSettings.of(own.meaning());
        try {
            Question.Wanted wanted = Question.wanted(settings, settings.rules().lease().times(0.5).min(MOST), log);
            if (wanted == null || wanted.digest().isEmpty()) {
                return null;
            }
            Common common = Common.read(wanted.text());
            common.onto(own);
            loader.lay(common);
            log.line("fleet: starts with the text " + common.digest());
            return common;
        } catch (NodeConfig.Unusable e) {
            log.line("fleet: starts without the text agreed on: " + e.getMessage());
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}
