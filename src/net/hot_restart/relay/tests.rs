use super::*;

#[test]
fn a_process_that_is_alone_relays_no_command() {
    let hot_restart = HotRestart::new();

    assert_eq!(hot_restart.relay(ControlCommand::EnterMaintenance("a".into())), Ok(()));
    assert!(hot_restart.with_state(|state| state.commands.outcomes.is_empty()));
}

#[test]
fn each_command_has_the_outcome_that_was_confirmed_for_its_number() {
    let mut commands = PendingCommands::default();
    let applied = commands.add();
    let rejected = commands.add();
    let pending = commands.add();

    commands.confirm(applied, None);
    commands.confirm(rejected, Some("it starts".into()));

    assert_eq!(commands.outcome(applied), CommandOutcome::Applied);
    assert_eq!(commands.outcome(rejected), CommandOutcome::Rejected("it starts".into()));
    assert_eq!(commands.outcome(pending), CommandOutcome::Pending);
}

#[test]
fn a_confirmation_without_a_pending_command_is_ignored() {
    let mut commands = PendingCommands::default();
    let number = commands.add();
    commands.remove(number);

    commands.confirm(number, None);

    assert!(commands.outcomes.is_empty());
}

#[test]
fn after_the_end_of_the_peer_a_command_is_confirmed_unless_it_was_rejected() {
    let hot_restart = HotRestart::new();
    let number = hot_restart.with_state(|state| state.commands.add());
    let deadline = Instant::now();

    // Without a connection the other process has ended, so it cannot act against a command.
    assert_eq!(hot_restart.await_confirmation(number, deadline), Ok(()));
    hot_restart.with_state(|state| state.commands.confirm(number, Some("no".into())));
    let rejected = Err(RelayError::Rejected("no".into()));
    assert_eq!(hot_restart.await_confirmation(number, deadline), rejected);
}
