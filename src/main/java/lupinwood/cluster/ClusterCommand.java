package lupinwood.cluster;

import java.util.List;
import java.util.Map;

/**
 * What is written into the cluster state, in the order agreed on. Each is done by {@link
 * ClusterState#apply} or found not to fit.
 */
public sealed interface ClusterCommand {
    /** Carries out each kind of command; true where it fitted and was done. */
    interface Handler {
        /** See {@link Bootstrap}. */
        boolean bootstrap(Bootstrap command);

        /** See {@link Join}. */
        boolean join(Join command);

        /** See {@link Leave}. */
        boolean leave(Leave command);

        /** See {@link RemoveNode}. */
        boolean removeNode(RemoveNode command);

        /** See {@link GrantLease}. */
        boolean grantLease(GrantLease command);

        /** See {@link ReleaseLease}. */
        boolean releaseLease(ReleaseLease command);

        /** See {@link RecordStatus}. */
        boolean recordStatus(RecordStatus command);

        /** See {@link GrantPermit}. */
        boolean grantPermit(GrantPermit command);

        /** See {@link ReturnPermit}. */
        boolean returnPermit(ReturnPermit command);

        /** See {@link SetHalt}. */
        boolean setHalt(SetHalt command);

        /** See {@link BeginRollout}. */
        boolean beginRollout(BeginRollout command);

        /** See {@link AdvanceRollout}. */
        boolean advanceRollout(AdvanceRollout command);

        /** See {@link RollBack}. */
        boolean rollBack(RollBack command);

        /** See {@link FinishRollout}. */
        boolean finishRollout(FinishRollout command);

        /** See {@link CordonServer}. */
        boolean cordonServer(CordonServer command);

        /** See {@link UncordonServer}. */
        boolean uncordonServer(UncordonServer command);

        /** See {@link SetCapacityPlan}. */
        boolean setCapacityPlan(SetCapacityPlan command);

        /** See {@link RetireCapacityPlans}. */
        boolean retireCapacityPlans(RetireCapacityPlans command);
    }

    /** Has the handler of its kind carry this command out; true where it fitted and was done. */
    boolean applyTo(Handler handler);

    /**
     * The first of all commands.
     *
     * @param above tokens begin above it, so that those of an older book, should it be lost, stay
     *     lower
     */
    record Bootstrap(long above) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.bootstrap(this);
        }
    }

    /** A node comes, or comes back under a new life. */
    record Join(NodeName name, Incarnation incarnation, Site site) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.join(this);
        }
    }

    /** A node goes, by its own word. */
    record Leave(NodeName name, Incarnation incarnation) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.leave(this);
        }
    }

    /** An operator's word that a node is gone for good; the cluster state forgets it. */
    record RemoveNode(NodeName name) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.removeNode(this);
        }
    }

    /**
     * Gives a duty to a node.
     *
     * @param after the duty's token before, so that one decision made twice is done once
     */
    record GrantLease(DutyName duty, NodeName heir, Incarnation incarnation, FencingToken after)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.grantLease(this);
        }
    }

    /** The duty is nobody's any more. */
    record ReleaseLease(DutyName duty, FencingToken token, LeaseEnd why) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.releaseLease(this);
        }
    }

    /** What the status reporter gathered; counts under its token only. */
    record RecordStatus(FencingToken token, String digest) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.recordStatus(this);
        }
    }

    /**
     * A node may go. Fits only while nothing is halted and the rules allow it, so whoever leads,
     * and however many ask at once, no more are out by permits than they say.
     *
     * @param order names what an operator asked for, so that asking again does nothing twice
     * @param unavailableNodes who is out by what the leader sees, beside the permits in the cluster
     *     state
     */
    record GrantPermit(
            String order,
            NodeName node,
            String by,
            long atMillis,
            DisruptionLimits limits,
            List<NodeName> unavailableNodes)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.grantPermit(this);
        }
    }

    /** A permit counts no longer. */
    record ReturnPermit(long permit, String why, long atMillis) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.returnPermit(this);
        }
    }

    /** No permit is given any more, or permits may be given again. */
    record SetHalt(String order, boolean halted, String by, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.setHalt(this);
        }
    }

    /**
     * A release begins. Fits only while no other is open and nothing is halted.
     *
     * @param to a text's digest, or a version of the program
     * @param text of a configuration; else empty
     */
    record BeginRollout(
            String order,
            String by,
            Rollout.Kind kind,
            String to,
            String text,
            boolean backsOnHalt,
            long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.beginRollout(this);
        }
    }

    /**
     * The next wave. Fits only under the rollout controller's token, while nothing is halted, and
     * as the next one.
     *
     * @param nodes that get it, or on the way back have it no more
     * @param why what the watch of the one before came to
     * @param past what each node answered over a watch before the first wave, by its name; with
     *     that wave only
     */
    record AdvanceRollout(
            FencingToken token,
            long rollout,
            int step,
            boolean back,
            List<NodeName> nodes,
            String why,
            Map<String, RequestCounts> past,
            long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.advanceRollout(this);
        }
    }

    /**
     * A release turns back, which ends a halt: an operator's word, or the program's where the
     * release said so.
     */
    record RollBack(String order, long rollout, String by, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.rollBack(this);
        }
    }

    /** A release has ended; counts under the rollout controller's token. */
    record FinishRollout(FencingToken token, long rollout, boolean done, String why, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.finishRollout(this);
        }
    }

    /**
     * A server below rests. Fits only while nothing is halted, no release is open and fewer rest
     * than may.
     *
     * @param most so many may rest at once
     */
    record CordonServer(String order, String server, String by, int most, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.cordonServer(this);
        }
    }

    /** It rests no more. */
    record UncordonServer(String order, String server, String by, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.uncordonServer(this);
        }
    }

    /**
     * How much each node may send where, under the planner's token. Fits only where no place could
     * be sent more than it bears by all that any node may still believe.
     *
     * @param after the number of the plan before, so that one made twice is made once
     * @param bears how many requests at once each place can bear
     * @param alone what a node of a site may have at a place without a plan
     * @param slots what all nodes of a site together may have at a place
     */
    record SetCapacityPlan(
            FencingToken token,
            long after,
            Map<String, Integer> bears,
            Map<String, Map<String, Integer>> alone,
            Map<String, Map<String, Integer>> slots,
            String why,
            long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.setCapacityPlan(this);
        }
    }

    /**
     * No node goes by a plan under this number any more: told by whoever leads the consensus group,
     * who knows of all leases.
     */
    record RetireCapacityPlans(long beforePlan) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.retireCapacityPlans(this);
        }
    }

    /** Why a duty was taken from its holder. */
    enum LeaseEnd {
        LAPSED,
        HANDED_ON,
        FAILED,
        WENT
    }
}
