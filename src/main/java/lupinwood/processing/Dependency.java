package lupinwood.processing;

import lupinwood.admission.NanoDuration;

/** What the request processor asks of the shared dependency that all nodes share. */
public interface Dependency {
    void call(AttemptId id, NanoDuration cap, byte[] body);

    void giveUp(AttemptId id);
}
