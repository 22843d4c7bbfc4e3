package lupinwood.experiment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Instant;
import lupinwood.log.Log;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The audit catches each broken rule, and the experiments hold them. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class ExperimentsIT {
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);

    private static Audit with(String id, String mark) {
        Audit audit = new Audit();
        audit.sent(id, new Audit.Sent("unlock", "scooter", mark, 1000, 4000));
        return audit;
    }

    @Test
    void theAuditCatchesWhatBreaksARule() {
        Audit twice = with("a", null);
        twice.answer("a", "ACK", "done: scooter", 1500);
        assertThat(twice.close()).isEmpty();
        twice.answer("a", "NAK", "", 1501);
        assertThat(twice.close()).containsExactly("two answers to a");
        assertThat(with("a", null).close()).containsExactly("no answer to a");
        Audit late = with("a", null);
        late.answer("a", "FAIL", "", 5200);
        assertThat(late.close()).hasSize(1).first().asString().contains("4200 ms");
        Audit others = with("a", null);
        others.answer("a", "ACK", "done: bike", 1500);
        assertThat(others.close()).containsExactly("a was satisfied with another's result");
        Audit rerun = with("a", "m");
        rerun.sent("b", new Audit.Sent("unlock", "scooter", "m", 1100, 4000));
        rerun.ran("a", "unlock", "scooter");
        rerun.ran("b", "unlock", "scooter");
        rerun.answer("a", "NAK", "", 1500);
        rerun.answer("b", "ACK", "done: scooter", 1500);
        assertThat(rerun.close())
                .containsExactly("the unlock 'scooter' ran twice", "a was bounced and ran");
        Audit stray = new Audit();
        stray.answer("x", "ACK", "", 1);
        assertThat(stray.close()).hasSize(1);
    }

    @Test
    void theTourShowsEachKindOfAnswer() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("tour", 1, 0, 0, "", new PrintStream(printed, true), log).run();
        assertThat(outcome.broken()).isEmpty();
        assertThat(outcome.line())
                .isEqualTo("tour: abandoned 2, runs 4, satisfied 5, sent 7, broken 0");
        assertThat(printed.toString(UTF_8)).contains("satisfied: done: scooter 7");
    }

    @Test
    void bothFrontsAnswerEachRequestOnceAndAnUnlockThatComesOverBothRunsOnce() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("mixed-fronts", 3, 60, 0, "", new PrintStream(printed, true), log)
                        .run();
        assertThat(outcome.broken()).isEmpty();
        assertThat(outcome.line()).contains("ajp cut", "ajp refused");
    }

    @Test
    void aPoolOutlivesOneServerInFour() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("pools", 1, 0, 0, "", new PrintStream(printed, true), log).run();
        assertThat(outcome.broken()).isEmpty();
    }

    @Test
    void aStormOfReloadsLosesNothingAndRunsNothingTwice() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("reload-storm", 5, 25, 0, "", new PrintStream(printed, true), log)
                        .run();
        assertThat(outcome.broken()).isEmpty();
        assertThat(outcome.line()).contains("reloads 25", "mute", "half-written", "refused");
    }

    @Test
    void noTwoDoOneDutyInMadeUpTimeAndEachSafeguardLeftOutIsFound() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("duties-time", 1, 100, 0, "", new PrintStream(printed, true), log)
                        .run();
        assertThat(outcome.broken()).isEmpty();
        assertThat(outcome.line())
                .contains(
                        "schedules 100",
                        "without TOKEN found",
                        "without EARLY_STOP found",
                        "without DRIFT found",
                        "without DURABLE_VOTE found");
    }

    @Test
    void oneOfManyTriesWhatAllHaveLeftOutAndAFleetsTalkGrowsWithItsSizeOnly() throws Exception {
        assertThat(
                        Experiments.named(
                                        "trials", 1, 40, 0, "", new PrintStream(printed, true), log)
                                .run()
                                .broken())
                .isEmpty();
        assertThat(
                        Experiments.named(
                                        "fleet-cost",
                                        1,
                                        0,
                                        20,
                                        "",
                                        new PrintStream(printed, true),
                                        log)
                                .run()
                                .broken())
                .isEmpty();
    }

    @Test
    void realProcessesNeverActUnderTwoTokens() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("duties", 2, 5, 12, "", new PrintStream(printed, true), log)
                        .run();
        assertThat(outcome.broken()).isEmpty();
    }

    @Test
    void anActTakenOutOfOrderOrBesideItsSuccessorIsFound() {
        StatusSink careless = new StatusSink(false, (node, since) -> false);
        assertThat(careless.act("a", 1, 1000)).isTrue();
        assertThat(careless.act("b", 2, 5000)).isTrue();
        assertThat(careless.act("a", 1, 5100)).isTrue();
        assertThat(careless.broken())
                .hasSize(1)
                .first()
                .asString()
                .contains("was taken after one under 2");
        StatusSink careful = new StatusSink(true, (node, since) -> node.equals("held up"));
        careful.act("a", 1, 1000);
        careful.act("b", 2, 5000);
        assertThat(careful.act("a", 1, 5100)).as("on its way meanwhile").isFalse();
        assertThat(careful.act("held up", 1, 9000)).isFalse();
        assertThat(careful.broken()).isEmpty();
        careful.act("a", 1, 9000);
        careful.act("c", 2, 9100);
        assertThat(careful.broken()).hasSize(2);
    }

    @Test
    void badReleasesAreCaughtAndGoodOnesGoThroughInMadeUpTime() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named(
                                "releases-time", 3, 48, 0, "", new PrintStream(printed, true), log)
                        .run();
        assertThat(outcome.broken()).isEmpty();
    }

    @Test
    void aReleaseGoesThroughRealProcessesAndABadOneComesBack() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("release", 6, 6, 120, "", new PrintStream(printed, true), log)
                        .run();
        assertThat(outcome.broken()).isEmpty();
        assertThat(outcome.line()).contains("GOOD_TEXT done=1", "REFUSED_TEXT back=1");
    }

    @Test
    void noPlaceIsSentMoreThanItBearsAndThePlanLiesNearTheTruth() throws Exception {
        assertThat(
                        Experiments.named(
                                        "failover-time",
                                        1,
                                        24,
                                        0,
                                        "",
                                        new PrintStream(printed, true),
                                        log)
                                .run()
                                .broken())
                .isEmpty();
    }

    @Test
    void realProcessesSharePlacesWithoutBreakingOne() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("failover", 2, 6, 21, "", new PrintStream(printed, true), log)
                        .run();
        assertThat(outcome.broken()).isEmpty();
    }

    @Test
    void aServerThatIsReportedToBeEmptyGetsNothing() throws Exception {
        assertThat(
                        Experiments.named("rest", 1, 1, 0, "", new PrintStream(printed, true), log)
                                .run()
                                .broken())
                .isEmpty();
    }

    @Test
    void noMoreNodesGoAtOnceThanTheFilesSay() throws Exception {
        Experiment.Outcome outcome =
                Experiments.named("permits", 2, 0, 15, "", new PrintStream(printed, true), log)
                        .run();
        assertThat(outcome.broken()).isEmpty();
    }
}
