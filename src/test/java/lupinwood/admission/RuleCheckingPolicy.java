package lupinwood.admission;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Delegates to another policy, and informs a test of each request before it is admitted and of the
 * end of each round of decisions.
 *
 * @param delegate the policy that decides
 * @param beforeAdmit receives each request before it is admitted
 * @param afterDecide runs after each round of decisions
 */
public record RuleCheckingPolicy(
        AdmissionPolicy delegate, Consumer<Request> beforeAdmit, Runnable afterDecide)
        implements AdmissionPolicy {
    @Override
    public RequestListener admit(Request request) {
        beforeAdmit.accept(request);
        return delegate.admit(request);
    }

    @Override
    public void decide() {
        delegate.decide();
        afterDecide.run();
    }

    @Override
    public void drain(NanoDuration timeUntilStop) {
        delegate.drain(timeUntilStop);
    }

    @Override
    public void wake(ResourceUsage resourceUsage) {
        delegate.wake(resourceUsage);
    }

    @Override
    public void updateSettings(Map<String, String> settings) {
        delegate.updateSettings(settings);
    }
}
