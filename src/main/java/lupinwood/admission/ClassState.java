package lupinwood.admission;

/**
 * One request class: what the settings say of it now, and what was measured of its requests.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class ClassState {
    private RequestClass settings;
    private final ClassCost cost = new ClassCost();
    private final BaselineLatency baseline = new BaselineLatency();
    private final CallSequence callSequence = new CallSequence();

    ClassState(RequestClass settings) {
        this.settings = settings;
    }

    RequestClass settings() {
        return settings;
    }

    /** Takes over changed settings; what was measured stays. */
    void update(RequestClass changed) {
        settings = changed;
    }

    ClassCost cost() {
        return cost;
    }

    BaselineLatency baseline() {
        return baseline;
    }

    CallSequence callSequence() {
        return callSequence;
    }
}
