package lupinwood.release;

import lupinwood.fleet.Deed;
import lupinwood.fleet.NodeName;

/** What the conductor wants done next. All may be lost or come twice, and does no harm then. */
public sealed interface Act {
    /** Written into the book. */
    record Write(Deed deed) implements Act {}

    /**
     * A node asks for its permit to go, so that it comes back with what it is to run.
     *
     * @param order names the asking for one life of the node: again under the same name it is done
     *     once
     */
    record Let(String order, NodeName node) implements Act {}
}
