package lupinwood.admission;

/**
 * The present settings of one request class and the values measured for its requests.
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

    /** Applies changed settings; measured values are kept. */
    void update(RequestClass newSettings) {
        settings = newSettings;
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
