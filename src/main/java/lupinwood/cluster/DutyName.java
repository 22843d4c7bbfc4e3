package lupinwood.cluster;

/**
 * A duty that one node at a time performs for the whole fleet. The texts are stored, sent and
 * logged, and therefore still contain the older names of some duties.
 */
public record DutyName(String text) implements Comparable<DutyName> {
    /** Checks the health of ejected servers for all nodes; stored as "trial". */
    public static final DutyName HEALTH_CHECK = new DutyName("trial");

    /**
     * Collects the fleet's status and sends it to the configured receiver outside the cluster;
     * stored as "keeper".
     */
    public static final DutyName STATUS_REPORTER = new DutyName("keeper");

    /** Plans how many requests each site sends to each location. */
    public static final DutyName PLANNER = new DutyName("planner");

    /** Decides the waves of rollouts; stored as "conductor". */
    public static final DutyName ROLLOUT_CONTROLLER = new DutyName("conductor");

    @Override
    public int compareTo(DutyName other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
