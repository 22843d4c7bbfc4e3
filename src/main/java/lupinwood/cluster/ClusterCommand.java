package lupinwood.cluster;

import java.util.List;
import java.util.Map;

/**
 * A change to the cluster state, replicated through the consensus group's log. {@link
 * ClusterState#apply} applies the commands in log order; it rejects one whose conditions don't hold
 * at that point, and then changes nothing but the count of commands.
 */
public sealed interface ClusterCommand {
    /** Applies each kind of command; true where it was accepted. */
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

    /** Passes this command to the handler's method for its kind; true where it was accepted. */
    boolean applyTo(Handler handler);

    /**
     * Initializes the cluster state; the lease manager decides it before all its other commands.
     *
     * @param above fencing tokens start above it, so that those of an older cluster state, should
     *     that be lost, stay lower
     */
    record Bootstrap(long above) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.bootstrap(this);
        }
    }

    /** A node joins, or joins again under a new incarnation. */
    record Join(NodeName name, Incarnation incarnation, Site site) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.join(this);
        }
    }

    /** A node has reported that it leaves. */
    record Leave(NodeName name, Incarnation incarnation) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.leave(this);
        }
    }

    /**
     * Removes a node from the cluster state, because an operator declared it gone for good;
     * rejected while the node holds a duty.
     */
    record RemoveNode(NodeName name) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.removeNode(this);
        }
    }

    /**
     * Grants the lease of a duty to a node.
     *
     * @param after the duty's previous token, so that a command sent twice is applied once
     */
    record GrantLease(DutyName duty, NodeName heir, Incarnation incarnation, FencingToken after)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.grantLease(this);
        }
    }

    /** Ends the lease of a duty, which then has no holder. */
    record ReleaseLease(DutyName duty, FencingToken token, LeaseEnd why) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.releaseLease(this);
        }
    }

    /** Stores what the status reporter collected; accepted under its token only. */
    record RecordStatus(FencingToken token, String digest) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.recordStatus(this);
        }
    }

    /**
     * Grants a node a permit to be unavailable. Accepted only while nothing is halted and the
     * disruption limits allow it, so permits never exceed the limits, whichever voter leads and
     * however many orders come at once.
     *
     * @param order identifies the operator order, so that sending it again has no further effect
     * @param unavailableNodes the nodes that the leader sees as unavailable, in addition to those
     *     with permits in the cluster state
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

    /** Ends a permit. */
    record ReturnPermit(long permit, String why, long atMillis) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.returnPermit(this);
        }
    }

    /**
     * Begins or ends a halt. While halted, no permit is granted, no server is cordoned, and no
     * rollout begins or advances.
     */
    record SetHalt(String order, boolean halted, String by, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.setHalt(this);
        }
    }

    /**
     * Begins a rollout. Accepted only while no other is in progress, no server is cordoned and
     * nothing is halted.
     *
     * @param to a configuration's digest, or a version of the program
     * @param text the configuration; empty for a program
     * @param backsOnHalt whether the rollout controller may roll it back without an order, instead
     *     of halting it
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
     * Decides the next wave of a rollout. Accepted only under the rollout controller's token, while
     * nothing is halted, and if its step follows the last one.
     *
     * @param back whether the wave is part of a rollback
     * @param nodes that get the change, or lose it in a rollback
     * @param why the reason, such as the canary verdict on the previous wave; empty for none
     * @param past the request counts of each node during an observation period before the first
     *     wave, by node name; null with all other waves
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
     * Starts rolling back a rollout, and ends a halt if there is one. Ordered by an operator, or by
     * the rollout controller where the rollout allows that.
     */
    record RollBack(String order, long rollout, String by, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.rollBack(this);
        }
    }

    /** Ends a rollout; accepted under the rollout controller's token only. */
    record FinishRollout(FencingToken token, long rollout, boolean done, String why, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.finishRollout(this);
        }
    }

    /**
     * Cordons a downstream server. Accepted only while nothing is halted, no rollout is in progress
     * and fewer servers are cordoned than allowed.
     *
     * @param most servers that may be cordoned at once
     */
    record CordonServer(String order, String server, String by, int most, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.cordonServer(this);
        }
    }

    /** Ends the cordon of a server. */
    record UncordonServer(String order, String server, String by, long atMillis)
            implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.uncordonServer(this);
        }
    }

    /**
     * Sets a new capacity plan. Accepted only under the planner's token, and if no location could
     * get more than its capacity under any combination of plans that nodes may still follow.
     *
     * @param after the number of the previous plan, so that a plan sent twice is applied once
     * @param bears the concurrent requests that each location can take
     * @param alone by site and location, how many concurrent requests one node may send without a
     *     plan
     * @param slots by site and location, how many concurrent requests all nodes of the site
     *     together may send
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
     * Drops the plans whose number is less than {@code beforePlan}, which no node follows any more.
     * The leader of the consensus group decides it, because it knows of all capacity leases.
     */
    record RetireCapacityPlans(long beforePlan) implements ClusterCommand {
        @Override
        public boolean applyTo(Handler handler) {
            return handler.retireCapacityPlans(this);
        }
    }

    /** Why the lease of a duty ended. */
    enum LeaseEnd {
        LAPSED,
        HANDED_ON,
        FAILED,
        WENT
    }
}
